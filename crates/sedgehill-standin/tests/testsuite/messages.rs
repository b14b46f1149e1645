//! The operations page lists every log message of a box in cell mode.

use sedgehill_standin::binaries::workspace_root;

/// Returns the messages that a source file logs: the first string literal in each logging macro.
fn messages(source: &str) -> Vec<String> {
    let mut found = Vec::new();
    for macro_name in ["info!(", "warn!(", "debug!("] {
        for call in source.split(macro_name).skip(1) {
            let Some((_, rest)) = call.split_once('"') else { continue };
            let Some((message, _)) = rest.split_once('"') else { continue };
            found.push(message.to_owned());
        }
    }
    found
}

#[test]
fn the_operations_page_lists_every_log_message_of_cell_mode() {
    let page = std::fs::read_to_string(workspace_root().join("docs/OPERATIONS.md")).unwrap();
    let mut count = 0;
    for entry in std::fs::read_dir(workspace_root().join("crates/sedgehilld/src/cell")).unwrap() {
        let path = entry.unwrap().path();
        for message in messages(&std::fs::read_to_string(&path).unwrap()) {
            count += 1;
            let is_listed = page.contains(&format!("`{message}`"));
            assert!(is_listed, "{}: `{message}` is not on the page", path.display());
        }
    }
    assert!(count > 40, "only {count} messages were found");
}
