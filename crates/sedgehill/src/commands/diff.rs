//! `sedgehill diff`: compares two versions of a template or of parameters.

use std::collections::BTreeMap;

use pico_args::Arguments;
use sedgehill_core::ids::Version;
use sedgehill_core::spec::ConfigKey;
use sedgehill_core::state::ConfigVersion;
use serde::Serialize;
use serde_json::Value;

use super::{CommandContext, expect_no_arguments};
use crate::error::CliError;
use crate::output::print_result;

/// A field whose value differs between two versions.
#[derive(Debug, Serialize)]
struct ChangedField {
    path: String,
    old: Option<Value>,
    new: Option<Value>,
}

/// Compares two versions of a key. Without `OLD` and `NEW`, compares the last two versions.
pub fn run(context: &CommandContext, mut args: Arguments) -> Result<(), CliError> {
    let key: ConfigKey = args.free_from_str()?;
    let old: Option<Version> = args.opt_free_from_str()?;
    let new: Option<Version> = args.opt_free_from_str()?;
    expect_no_arguments(args)?;
    let history = context.block_on(context.client.history(&key))?;
    let find = |requested: Option<Version>, from_end: usize| -> Result<&ConfigVersion, CliError> {
        let found = match requested {
            Some(version) => history.versions.iter().find(|entry| entry.version == version),
            None => history.versions.iter().rev().nth(from_end),
        };
        found.ok_or_else(|| CliError::Missing(format!("such version of {key}")))
    };
    let changes = compare(find(old, 1)?, find(new, 0)?);
    print_result(context.format, &changes, |changes| changes.iter().map(change_line).collect());
    Ok(())
}

/// Returns the fields that differ, sorted by path.
fn compare(old: &ConfigVersion, new: &ConfigVersion) -> Vec<ChangedField> {
    let old = flatten(old);
    let new = flatten(new);
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| ChangedField {
            path: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        })
        .collect()
}

/// Returns the fields of a version by their dotted paths. Arrays are values of one field.
fn flatten(version: &ConfigVersion) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    let value = serde_json::to_value(&version.spec).expect("our types serialize");
    flatten_into(String::new(), value, &mut fields);
    fields
}

fn flatten_into(path: String, value: Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(entries) => {
            for (key, value) in entries {
                let child_path = if path.is_empty() { key } else { format!("{path}.{key}") };
                flatten_into(child_path, value, fields);
            }
        }
        other => {
            fields.insert(path, other);
        }
    }
}

fn change_line(change: &ChangedField) -> String {
    let text = |value: &Option<Value>| value.as_ref().map_or("absent".to_owned(), Value::to_string);
    format!("{}: {} -> {}\n", change.path, text(&change.old), text(&change.new))
}
