//! The command line: errors, exit codes, suggestions, and the examples.

use std::process::{Command, Output};

use sedgehill_standin::binaries::{build_binaries, workspace_root};

use crate::support::{parse, small_plan, start_published};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(build_binaries().client);
    command.args(args).env_remove("SEDGEHILL_BOXES").current_dir(workspace_root());
    command.output().expect("the client can be started")
}

fn check_text(text: &str) -> (Option<i32>, String) {
    let directory = tempfile::tempdir().expect("a directory can be made");
    let path = directory.path().join("work.json");
    std::fs::write(&path, text).expect("a file can be written");
    let output = run(&["check", path.to_str().expect("the path is text")]);
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn the_examples_pass_the_check() {
    let output =
        run(&["--format", "json", "check", "examples/haddad.json", "examples/inkaso.json"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let keys = parse(&String::from_utf8_lossy(&output.stdout));
    assert_eq!(keys.as_array().map(Vec::len), Some(12));
}

#[test]
fn all_errors_of_a_file_are_reported_together() {
    let (code, text) = check_text(
        r#"{ "templates": [
            { "name": "Windyk", "type": "servce" },
            { "name": "a", "type": "batch", "run_tme": "1s", "attempts": 0,
              "resources": { "cores": "two", "memory": "1GiB" } },
            { "name": "a", "type": "service", "slots": 8, "connections": 60,
              "kinds": { "check": { "patience": "fast", "timeout": "1s" } } } ] }"#,
    );
    assert_eq!(code, Some(3));
    for expected in [
        "work.json has errors",
        "templates[0].name: expected lower-case letters",
        "templates[0].type: expected one of: service, batch, gang; found `servce`, did you mean `service`?",
        "templates[1].run_time: missing",
        "templates[1].run_tme: unknown key, did you mean `run_time`?",
        "templates[1].attempts: expected a whole number from 1 to 100, found 0",
        "templates[1].resources.cores: expected cores such as",
        "templates[2].kinds.check.patience: expected a time such as",
    ] {
        assert!(text.contains(expected), "missing `{expected}` in:\n{text}");
    }
}

#[test]
fn duplicates_and_broken_json_are_named() {
    let template = r#"{ "name": "a", "type": "batch", "run_time": "1s",
        "resources": { "cores": "1", "memory": "1GiB" } }"#;
    let (code, text) = check_text(&format!(r#"{{ "templates": [{template}, {template}] }}"#));
    assert_eq!(code, Some(3));
    assert!(text.contains("template/a: given twice in this file"), "{text}");
    let (code, text) = check_text("{ \"templates\": [");
    assert_eq!(code, Some(3));
    assert!(text.contains("line 1"), "{text}");
}

#[test]
fn wrong_usage_has_its_own_exit_code() {
    let output = run(&["pubish"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("did you mean `publish`?"));
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&["check", "--fast", "x"]).status.code(), Some(2));
    assert_eq!(run(&["list"]).status.code(), Some(2), "`list` without a box must be a usage error");
    assert_eq!(run(&["check", "no-such-file.json"]).status.code(), Some(3));
    let output = run(&["--boxes", "127.0.0.1:1", "list"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("caused by:"));
    assert!(run(&["--help"]).status.success());
    assert!(run(&["publish", "--help"]).status.success());
    assert!(run(&["--version"]).status.success());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn versions_are_listed_and_compared() {
    let cluster = start_published(&small_plan()).await;
    let again = cluster.client_ok(&["publish", "examples/inkaso.json"]).await;
    assert_eq!(again.matches("(unchanged)").count(), 6, "{again}");
    let path = cluster.directory().join("next.json");
    let manifest = r#"{ "parameters": [
        { "organisation": "inkaso", "template": "windyk", "priority": 9, "queue": 7 } ] }"#;
    std::fs::write(&path, manifest).expect("a file can be written");
    cluster.client_ok(&["publish", path.to_str().expect("the path is text")]).await;
    let diff = cluster.client_ok(&["diff", "parameters/inkaso/windyk"]).await;
    assert!(diff.contains("parameters.queue: 2000 -> 7"), "{diff}");
    let history = cluster.client_ok(&["history", "parameters/inkaso/windyk"]).await;
    assert_eq!(history.lines().count(), 2, "{history}");
    let current = cluster.client_ok(&["get", "parameters/inkaso/windyk"]).await;
    assert!(current.contains("\"queue\": 7"), "{current}");
    let missing = cluster.client(&["get", "template/none"]).await;
    assert_eq!(missing.status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reference_to_a_missing_template_publishes_nothing() {
    let cluster = start_published(&small_plan()).await;
    let path = cluster.directory().join("missing-template.json");
    let manifest = r#"{ "parameters": [
        { "organisation": "inkaso", "template": "windyk", "queue": 9 },
        { "organisation": "inkaso", "template": "none" } ] }"#;
    std::fs::write(&path, manifest).expect("a file can be written");
    let output = cluster.client(&["publish", path.to_str().expect("the path is text")]).await;
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("parameters/inkaso/none: there is no template `none`"), "{text}");
    let history = cluster.client_ok(&["history", "parameters/inkaso/windyk"]).await;
    assert_eq!(history.lines().count(), 1, "a version was published: {history}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_box_reports_draining_and_can_be_undrained() {
    let cluster = start_published(&small_plan()).await;
    cluster.client_ok(&["drain", "box-2"]).await;
    sedgehill_standin::cluster::wait_for("box-2 to drain", async || {
        cluster
            .health(1)
            .await
            .is_some_and(|report| report.health == sedgehill_platform::admin::BoxHealth::Draining)
    })
    .await;
    cluster.client_ok(&["drain", "--undo", "box-2"]).await;
    cluster.wait_ready(1).await;
}

#[test]
fn wrong_settings_are_named_with_their_keys() {
    let directory = tempfile::tempdir().expect("a directory can be made");
    let path = directory.path().join("box.json");
    let settings = r#"{ "box": "box-1", "hall": "abdali", "traffic_thread": 2,
        "listen": { "traffic": "127.0.0.1:1", "admin": "nowhere", "peer": "127.0.0.1:3" },
        "platform": { "log": "127.0.0.1:4", "list": "127.0.0.1:5" },
        "lead": { "term": "1s", "renew_every": "900ms" },
        "tls": { "certificate": "a", "key": "b" } }"#;
    std::fs::write(&path, settings).expect("a file can be written");
    let mut command = Command::new(build_binaries().daemon);
    let output =
        command.args(["--check", "--settings"]).arg(&path).output().expect("it can be started");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for expected in [
        "listen.admin: ",
        "tls.authority: missing",
        "traffic_thread: unknown key, did you mean `traffic_threads`?",
    ] {
        assert!(text.contains(expected), "missing `{expected}` in:\n{text}");
    }
}
