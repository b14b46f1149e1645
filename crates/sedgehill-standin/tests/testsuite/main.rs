//! The system as separate processes, against stand-ins that fail on purpose.

mod support;
mod whole_path;
