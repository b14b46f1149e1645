//! Prints results to standard output and status messages to standard error.

use std::str::FromStr;

use serde::Serialize;

/// Output format of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// One JSON value, for programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(OutputFormat::Text),
            "json" => Ok(OutputFormat::Json),
            other => Err(format!("expected `text` or `json`, found `{other}`")),
        }
    }
}

/// Prints a result in the given format. `render` returns its text form.
pub fn print_result<T: Serialize>(
    format: OutputFormat,
    value: &T,
    render: impl FnOnce(&T) -> String,
) {
    match format {
        OutputFormat::Text => print!("{}", render(value)),
        OutputFormat::Json => {
            let text = serde_json::to_string_pretty(value).expect("our types serialize");
            println!("{text}");
        }
    }
}

/// Prints a status message: a verb and the object that it applies to.
pub fn print_status(verb: &str, object: impl std::fmt::Display) {
    eprintln!("{verb:>12} {object}");
}
