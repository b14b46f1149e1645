//! Parses the JSON files that operators write into checked [`crate::spec`] types.
//!
//! The whole file is checked and all errors are collected, each with the path of its key and the
//! allowed values, so that an operator can correct a file in one round.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::fields::{FieldReader, ManifestError, ManifestErrors, suggest};
use crate::spec::{
    ConfigKey, ConfigSpec, KindShape, OrgParameters, ServiceShape, TaskShape, WorkShape,
    WorkTemplate,
};
use crate::units::{ResourceSet, TimeSpan};

/// Highest priority that parameters may set.
pub const MAX_PRIORITY: u64 = 9;
/// Maximum number of slots, and of connections, that a template may give an endpoint.
const MAX_SLOTS: u64 = 10_000;
/// Maximum number of attempts that a template may allow a task.
const MAX_ATTEMPTS: u64 = 100;
/// Maximum number of waiting requests at one box that parameters may allow.
const MAX_QUEUE_LIMIT: u64 = 100_000;
/// Number of waiting requests at one box that is allowed if the parameters set none.
const DEFAULT_QUEUE_LIMIT: u64 = 1_000;

/// A manifest file before any check, as a JSON object.
#[derive(Debug, Clone, Deserialize)]
#[serde(transparent)]
pub struct RawManifest(Map<String, Value>);

/// A checked manifest file: templates and parameters that an operator publishes together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WorkManifest {
    /// The entries in the order of publication: templates first.
    pub specs: Vec<ConfigSpec>,
}

impl FromStr for WorkManifest {
    type Err = ManifestErrors;

    fn from_str(text: &str) -> Result<Self, ManifestErrors> {
        let raw: RawManifest = serde_json::from_str(text).map_err(|error| {
            let path = format!("line {}, column {}", error.line(), error.column());
            let message = format!("not a JSON object: {error}");
            ManifestErrors(vec![ManifestError { path, message }])
        })?;
        raw.try_into()
    }
}

impl TryFrom<RawManifest> for WorkManifest {
    type Error = ManifestErrors;

    fn try_from(raw: RawManifest) -> Result<Self, ManifestErrors> {
        let mut errors = Vec::new();
        let mut specs = Vec::new();
        let mut reader = FieldReader::new("", &raw.0, &mut errors);
        let templates = reader.list("templates");
        let parameters = reader.list("parameters");
        read_entries(&mut reader, "templates", templates, &mut specs, read_template);
        read_entries(&mut reader, "parameters", parameters, &mut specs, read_parameters);
        reader.finish();
        check_duplicates(&specs, &mut errors);
        if specs.is_empty() && errors.is_empty() {
            let message = "expected `templates`, `parameters` or both".to_owned();
            errors.push(ManifestError { path: "file".to_owned(), message });
        }
        if errors.is_empty() { Ok(WorkManifest { specs }) } else { Err(ManifestErrors(errors)) }
    }
}

impl WorkManifest {
    /// Checks that every template named by parameters is in this file or satisfies `exists`.
    pub fn check_references(
        &self,
        exists: impl Fn(&ConfigKey) -> bool,
    ) -> Result<(), ManifestErrors> {
        let defined: BTreeSet<ConfigKey> = self.specs.iter().map(ConfigSpec::key).collect();
        let mut errors = Vec::new();
        for spec in &self.specs {
            let ConfigSpec::Parameters(parameters) = spec else { continue };
            let key = ConfigKey::Template(parameters.template.clone());
            if !defined.contains(&key) && !exists(&key) {
                let message = format!("there is no template `{}`", parameters.template);
                errors.push(ManifestError { path: spec.key().to_string(), message });
            }
        }
        if errors.is_empty() { Ok(()) } else { Err(ManifestErrors(errors)) }
    }
}

/// Reads each object of the list `entries`, which stands under `key`, with `read`.
fn read_entries(
    reader: &mut FieldReader<'_>,
    key: &'static str,
    entries: &[Value],
    specs: &mut Vec<ConfigSpec>,
    read: fn(&mut FieldReader<'_>) -> Option<ConfigSpec>,
) {
    for (index, entry) in entries.iter().enumerate() {
        let name = format!("{key}[{index}]");
        let Some(fields) = reader.object_value(&name, entry) else { continue };
        let mut nested = reader.nested(&name, fields);
        specs.extend(read(&mut nested));
        nested.finish();
    }
}

fn check_duplicates(specs: &[ConfigSpec], errors: &mut Vec<ManifestError>) {
    let mut seen = BTreeSet::new();
    for spec in specs {
        let key = spec.key();
        if !seen.insert(key.clone()) {
            let message = "given twice in this file".to_owned();
            errors.push(ManifestError { path: key.to_string(), message });
        }
    }
}

/// Values of a template's `type` field.
const WORK_TYPES: [&str; 3] = ["service", "batch", "gang"];

fn read_template(reader: &mut FieldReader<'_>) -> Option<ConfigSpec> {
    let name = reader.text("name");
    let work_type: Option<String> = reader.text("type");
    let work = match work_type.as_deref() {
        Some("service") => read_service(reader).map(WorkShape::Service),
        Some("batch") => read_task(reader).map(WorkShape::Batch),
        Some("gang") => read_task(reader).map(WorkShape::Gang),
        Some(other) => {
            let hint = suggest(other, WORK_TYPES).map(|name| format!(", did you mean `{name}`?"));
            let expected = WORK_TYPES.join(", ");
            reader.add_error(
                "type",
                format!("expected one of: {expected}; found `{other}`{}", hint.unwrap_or_default()),
            );
            None
        }
        None => None,
    };
    Some(ConfigSpec::Template(WorkTemplate { name: name?, work: work? }))
}

fn read_service(reader: &mut FieldReader<'_>) -> Option<ServiceShape> {
    let slots = reader.number("slots", 1, MAX_SLOTS);
    let connections = reader.number("connections", 1, MAX_SLOTS);
    let raw_kinds = reader.object("kinds")?;
    let mut kinds = BTreeMap::new();
    let mut all_valid = true;
    for (name, value) in raw_kinds {
        let path = format!("kinds.{name}");
        match read_kind(reader, &path, name, value) {
            Some((name, kind)) => {
                kinds.insert(name, kind);
            }
            None => all_valid = false,
        }
    }
    if raw_kinds.is_empty() {
        reader.add_error("kinds", "expected at least one kind");
        all_valid = false;
    }
    let shape = ServiceShape { slots: slots? as u32, connections: connections? as u32, kinds };
    all_valid.then_some(shape)
}

fn read_kind(
    reader: &mut FieldReader<'_>,
    path: &str,
    name: &str,
    value: &Value,
) -> Option<(crate::ids::KindName, KindShape)> {
    let parsed_name = match name.parse() {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            reader.add_error(path, crate::ids::IdError::to_string(&error));
            None
        }
    };
    let fields = reader.object_value(path, value)?;
    let mut nested = reader.nested(path, fields);
    let patience = nested.text("patience");
    let timeout = nested.text("timeout");
    let once_only = nested.flag_or("once_only", false);
    nested.finish();
    let kind = KindShape { patience: patience?, timeout: timeout?, once_only: once_only? };
    Some((parsed_name?, kind))
}

fn read_resources(reader: &mut FieldReader<'_>, key: &'static str) -> Option<ResourceSet> {
    let fields = reader.object(key)?;
    read_resource_fields(reader, key, fields)
}

fn read_resource_fields(
    reader: &mut FieldReader<'_>,
    key: &str,
    fields: &Map<String, Value>,
) -> Option<ResourceSet> {
    let mut nested = reader.nested(key, fields);
    let cores = nested.text("cores");
    let memory = nested.text("memory");
    let accelerators = nested.number_or("accelerators", 0, u64::from(u32::MAX), 0);
    nested.finish();
    let resources =
        ResourceSet { cores: cores?, memory: memory?, accelerators: accelerators? as u32 };
    if resources.is_empty() {
        reader.add_error(key, "expected at least one resource above zero");
        return None;
    }
    Some(resources)
}

fn read_task(reader: &mut FieldReader<'_>) -> Option<TaskShape> {
    let resources = read_resources(reader, "resources");
    let run_time = reader.text("run_time");
    let attempts = reader.number_or("attempts", 1, MAX_ATTEMPTS, 3);
    Some(TaskShape { resources: resources?, run_time: run_time?, attempts: attempts? as u32 })
}

fn read_parameters(reader: &mut FieldReader<'_>) -> Option<ConfigSpec> {
    let organisation = reader.text("organisation");
    let template = reader.text("template");
    let priority = reader.number_or("priority", 0, MAX_PRIORITY, 5);
    let halls = read_halls(reader);
    let tolerable_delay = reader.text_or("tolerable_delay", TimeSpan(0));
    let had_rate = reader.contains("rate");
    let rate = reader.optional_text("rate");
    let queue = reader.number_or("queue", 1, MAX_QUEUE_LIMIT, DEFAULT_QUEUE_LIMIT);
    let quota_fields = reader.optional_object("quota");
    let quota = match quota_fields {
        Some(fields) => Some(read_resource_fields(reader, "quota", fields)?),
        None => None,
    };
    if had_rate && rate.is_none() {
        return None;
    }
    Some(ConfigSpec::Parameters(OrgParameters {
        organisation: organisation?,
        template: template?,
        priority: priority? as u8,
        halls: halls?,
        tolerable_delay: tolerable_delay?,
        rate,
        queue: queue? as u32,
        quota,
    }))
}

fn read_halls(reader: &mut FieldReader<'_>) -> Option<BTreeSet<crate::ids::HallName>> {
    let entries = reader.list("halls");
    let mut halls = BTreeSet::new();
    let mut all_valid = true;
    for (index, entry) in entries.iter().enumerate() {
        match reader.parse(&format!("halls[{index}]"), entry) {
            Some(hall) => {
                halls.insert(hall);
            }
            None => all_valid = false,
        }
    }
    all_valid.then_some(halls)
}
