//! Results on standard output, status on standard error.

use std::str::FromStr;

use serde::Serialize;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    Text,
    /// For programs: one JSON value.
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

/// Prints a result: as JSON, or as the text that `render` makes of it.
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

/// Prints what is being done.
pub fn status(verb: &str, what: impl std::fmt::Display) {
    eprintln!("{verb:>12} {what}");
}
