//! Reads the keys of JSON objects and collects every error, each with its key's path.

use std::fmt;
use std::str::FromStr;

use serde_json::{Map, Value};

/// How alike an unknown key must be to a known one to be suggested, from 0 to 1.
const SUGGEST_LIKENESS: f64 = 0.7;

/// One thing wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestError {
    /// Where: the path of the key, such as `templates[0].kinds.check.patience`.
    pub path: String,
    /// What is wrong there and what is allowed.
    pub message: String,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Everything that is wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ManifestErrors(pub Vec<ManifestError>);

impl fmt::Display for ManifestErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ManifestError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ManifestErrors {}

/// The closest of `known` to `text`, if any is close.
pub fn suggest<'a>(text: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (name, strsim::jaro_winkler(text, name)))
        .filter(|(_, likeness)| *likeness >= SUGGEST_LIKENESS)
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(name, _)| name)
}

/// Reads the keys of one JSON object, collecting errors and noting which keys are known.
pub struct FieldReader<'a> {
    path: String,
    fields: &'a Map<String, Value>,
    known: Vec<&'static str>,
    errors: &'a mut Vec<ManifestError>,
}

impl<'a> FieldReader<'a> {
    /// A reader of `fields`, which stand at `path`.
    pub fn new(
        path: impl Into<String>,
        fields: &'a Map<String, Value>,
        errors: &'a mut Vec<ManifestError>,
    ) -> FieldReader<'a> {
        FieldReader { path: path.into(), fields, known: Vec::new(), errors }
    }

    fn child(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Notes an error at `key`.
    pub fn add_error(&mut self, key: &str, message: impl Into<String>) {
        let path = self.child(key);
        self.errors.push(ManifestError { path, message: message.into() });
    }

    fn value(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known.push(key);
        self.fields.get(key)
    }

    fn required(&mut self, key: &'static str) -> Option<&'a Value> {
        let value = self.value(key);
        if value.is_none() {
            self.add_error(key, "missing, and there is no default");
        }
        value
    }

    /// A value as a text that must parse.
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

    /// A text that must be there and parse.
    pub fn text<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.required(key)?;
        self.parse(key, value)
    }

    /// A text that may be absent, but must parse when there.
    pub fn optional_text<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.value(key)?;
        self.parse(key, value)
    }

    fn in_range(&mut self, key: &str, value: &Value, low: u64, high: u64) -> Option<u64> {
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

    /// Whether a key is there.
    pub fn contains(&self, key: &str) -> bool {
        self.fields.contains_key(key)
    }

    /// A whole number that must be there.
    pub fn number(&mut self, key: &'static str, low: u64, high: u64) -> Option<u64> {
        let value = self.required(key)?;
        self.in_range(key, value, low, high)
    }

    /// A whole number with a default.
    pub fn number_or(
        &mut self,
        key: &'static str,
        low: u64,
        high: u64,
        default: u64,
    ) -> Option<u64> {
        match self.value(key) {
            Some(value) => self.in_range(key, value, low, high),
            None => Some(default),
        }
    }

    /// A text with a default.
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

    /// A flag with a default.
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

    /// An object that must be there.
    pub fn object(&mut self, key: &'static str) -> Option<&'a Map<String, Value>> {
        let value = self.required(key)?;
        self.as_object(key, value)
    }

    /// An object that may be absent.
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

    /// The entries of a list, empty where absent.
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

    /// A reader of an object below this one.
    pub fn nested<'b>(&'b mut self, key: &str, fields: &'b Map<String, Value>) -> FieldReader<'b> {
        let path = self.child(key);
        FieldReader::new(path, fields, self.errors)
    }

    /// Notes each key that was never asked for.
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
    /// An entry of a list, or a value under a key that is not known beforehand, as an object.
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
