//! `sedgehill publish`: publishes the entries of files as new versions.

use std::collections::BTreeSet;

use pico_args::Arguments;
use sedgehill_core::ids::Version;
use sedgehill_core::spec::{ConfigKey, ConfigSpec};
use sedgehill_core::state::RecordVerdict;
use sedgehill_platform::admin::ChangeBody;
use serde::Serialize;

use super::{CommandContext, read_manifests};
use crate::error::CliError;
use crate::output::{print_result, print_status};

/// Result for one entry of a file.
#[derive(Debug, Serialize)]
struct PublishedEntry {
    key: String,
    version: u64,
    changed: bool,
}

/// Publishes the files, if none of them has errors. Each entry is based on the version that
/// `--base` names, or else on the current version. Without `--base`, entries that equal the current
/// version are not published again.
pub fn run(context: &CommandContext, mut args: Arguments) -> Result<(), CliError> {
    let base: Option<Version> = args.opt_value_from_str("--base")?;
    let manifests = read_manifests(args)?;
    let listings = context.block_on(context.client.configs())?;
    let mut known: BTreeSet<String> = listings.into_iter().map(|listing| listing.key).collect();
    let keys =
        manifests.iter().flat_map(|(_, manifest)| manifest.specs.iter().map(ConfigSpec::key));
    known.extend(keys.map(|key| key.to_string()));
    for (path, manifest) in &manifests {
        let exists = |key: &ConfigKey| known.contains(&key.to_string());
        manifest
            .check_references(exists)
            .map_err(|errors| CliError::Manifest(path.clone(), errors))?;
    }
    let mut published = Vec::new();
    for spec in manifests.iter().flat_map(|(_, manifest)| &manifest.specs) {
        published.push(publish(context, spec, base)?);
    }
    print_result(context.format, &published, |entries| {
        let line = |entry: &PublishedEntry| {
            let suffix = if entry.changed { "" } else { " (unchanged)" };
            format!("{} version {}{suffix}\n", entry.key, entry.version)
        };
        entries.iter().map(line).collect()
    });
    Ok(())
}

/// Publishes one entry, unless it equals the current version and no base is given.
fn publish(
    context: &CommandContext,
    spec: &ConfigSpec,
    base: Option<Version>,
) -> Result<PublishedEntry, CliError> {
    let key = spec.key();
    let history = context.block_on(context.client.history(&key))?;
    let current = history.versions.last();
    if let Some(current) = current.filter(|current| base.is_none() && current.spec == *spec) {
        print_status("Unchanged", &key);
        return Ok(PublishedEntry {
            key: key.to_string(),
            version: current.version.0,
            changed: false,
        });
    }
    let base = base.or(current.map(|current| current.version));
    let body = ChangeBody::Publish { base, spec: spec.clone() };
    let (_, verdict) = context.change(&key.to_string(), body)?;
    let RecordVerdict::Accepted { at } = verdict else {
        return Err(CliError::Unknown(key.to_string()));
    };
    print_status("Published", &key);
    Ok(PublishedEntry { key: key.to_string(), version: at.0, changed: true })
}
