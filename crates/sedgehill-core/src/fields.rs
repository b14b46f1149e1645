//! Reads the fields of JSON objects and collects every error with the path of its key.

use std::fmt;
use std::str::FromStr;

use serde_json::{Map, Value};

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// One error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestError {
    /// Path of the key, such as `templates[0].kinds.check.patience`.
    pub path: String,
    /// What is wrong with the value, and which values are allowed.
    pub message: String,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// All errors of a file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ManifestErrors(pub Vec<ManifestError>);

impl fmt::Display for ManifestErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ManifestError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ManifestErrors {}

/// Returns the name in `known` that is most similar to `text`, if any is similar enough.
pub fn suggest<'a>(text: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (name, strsim::jaro_winkler(text, name)))
        .filter(|(_, similarity)| *similarity >= MIN_SUGGESTION_SIMILARITY)
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(name, _)| name)
}

/// Reads the fields of one JSON object, collects errors and records which keys are known.
pub struct FieldReader<'a> {
    path: String,
    fields: &'a Map<String, Value>,
    known: Vec<&'static str>,
    errors: &'a mut Vec<ManifestError>,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of the object `fields`, whose own path is `path` (empty for the root).
    pub fn new(
        path: impl Into<String>,
        fields: &'a Map<String, Value>,
        errors: &'a mut Vec<ManifestError>,
    ) -> FieldReader<'a> {
        FieldReader { path: path.into(), fields, known: Vec::new(), errors }
    }

    fn child_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Adds an error at `key`.
    pub fn add_error(&mut self, key: &str, message: impl Into<String>) {
        let path = self.child_path(key);
        self.errors.push(ManifestError { path, message: message.into() });
    }

    /// Returns the value under `key` and records the key as known.
    fn value(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known.push(key);
        self.fields.get(key)
    }

    fn required_value(&mut self, key: &'static str) -> Option<&'a Value> {
        let value = self.value(key);
        if value.is_none() {
            self.add_error(key, "missing, and there is no default");
        }
        value
    }

    /// Parses a JSON string, and adds an error if the value is no string or does not parse.
    pub fn parse<T>(&mut self, key: &str, value: &Value) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(text) = value.as_str() else {
            self.add_error(key, format!("expected a text, found {}", type_name(value)));
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.add_error(key, T::Err::to_string(&error));
                None
            }
        }
    }

    /// Reads a required string and parses it.
    pub fn text<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.required_value(key)?;
        self.parse(key, value)
    }

    /// Reads an optional string; adds an error if it is present and does not parse.
    pub fn optional_text<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.value(key)?;
        self.parse(key, value)
    }

    fn number_in_range(&mut self, key: &str, value: &Value, low: u64, high: u64) -> Option<u64> {
        match value.as_u64() {
            Some(number) if (low..=high).contains(&number) => Some(number),
            _ => {
                self.add_error(
                    key,
                    format!("expected a whole number from {low} to {high}, found {value}"),
                );
                None
            }
        }
    }

    /// Whether the object has this key.
    pub fn contains(&self, key: &str) -> bool {
        self.fields.contains_key(key)
    }

    /// Reads a required whole number from `low` to `high`.
    pub fn number(&mut self, key: &'static str, low: u64, high: u64) -> Option<u64> {
        let value = self.required_value(key)?;
        self.number_in_range(key, value, low, high)
    }

    /// Reads a whole number from `low` to `high`, or returns the default if it is absent.
    pub fn number_or(
        &mut self,
        key: &'static str,
        low: u64,
        high: u64,
        default: u64,
    ) -> Option<u64> {
        match self.value(key) {
            Some(value) => self.number_in_range(key, value, low, high),
            None => Some(default),
        }
    }

    /// Reads a string and parses it, or returns the default if it is absent.
    pub fn text_or<T>(&mut self, key: &'static str, default: T) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match self.value(key) {
            Some(value) => self.parse(key, value),
            None => Some(default),
        }
    }

    /// Reads a boolean, or returns the default if it is absent.
    pub fn flag_or(&mut self, key: &'static str, default: bool) -> Option<bool> {
        match self.value(key) {
            None => Some(default),
            Some(Value::Bool(flag)) => Some(*flag),
            Some(other) => {
                self.add_error(key, format!("expected true or false, found {other}"));
                None
            }
        }
    }

    /// Reads a required object.
    pub fn object(&mut self, key: &'static str) -> Option<&'a Map<String, Value>> {
        let value = self.required_value(key)?;
        self.as_object(key, value)
    }

    /// Reads an optional object.
    pub fn optional_object(&mut self, key: &'static str) -> Option<&'a Map<String, Value>> {
        let value = self.value(key)?;
        self.as_object(key, value)
    }

    fn as_object(&mut self, key: &str, value: &'a Value) -> Option<&'a Map<String, Value>> {
        let object = value.as_object();
        if object.is_none() {
            self.add_error(key, format!("expected an object, found {}", type_name(value)));
        }
        object
    }

    /// Reads a list; returns an empty slice if it is absent.
    pub fn list(&mut self, key: &'static str) -> &'a [Value] {
        match self.value(key) {
            None => &[],
            Some(Value::Array(entries)) => entries,
            Some(other) => {
                self.add_error(key, format!("expected a list, found {}", type_name(other)));
                &[]
            }
        }
    }

    /// Creates a reader for an object nested under `key`. Its errors are added to the same list.
    pub fn nested<'b>(&'b mut self, key: &str, fields: &'b Map<String, Value>) -> FieldReader<'b> {
        let path = self.child_path(key);
        FieldReader::new(path, fields, self.errors)
    }

    /// Adds an error for each key that no read has named. Call it after all reads.
    pub fn finish(self) {
        for key in self.fields.keys() {
            if self.known.contains(&key.as_str()) {
                continue;
            }
            let path =
                if self.path.is_empty() { key.clone() } else { format!("{}.{key}", self.path) };
            let message = match suggest(key, self.known.iter().copied()) {
                Some(name) => format!("unknown key, did you mean `{name}`?"),
                None => format!("unknown key, expected one of: {}", self.known.join(", ")),
            };
            self.errors.push(ManifestError { path, message });
        }
    }
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

impl<'a> FieldReader<'a> {
    /// Returns `value` as an object, for list entries and for keys that are user-chosen names.
    pub fn object_value<'v>(
        &mut self,
        key: &str,
        value: &'v Value,
    ) -> Option<&'v Map<String, Value>> {
        let object = value.as_object();
        if object.is_none() {
            self.add_error(key, format!("expected an object, found {}", type_name(value)));
        }
        object
    }
}
