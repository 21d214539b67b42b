//! Panics, as the log of a process shows them. The test runs itself again as that process.

use almondwell_daemon::{Command, run};
use async_std::task;
use std::process;
use std::time::Duration;

const CHILD: &str = "PANICS_CHILD";
const COMMAND: Command = Command {
    about: "a daemon whose tasks panic",
    name: "panics",
    section: "router",
};

/// Runs as the process whose log is tested.
#[test]
fn child() {
    if std::env::var_os(CHILD).is_none() {
        return;
    }
    let mut parser = lexopt::Parser::from_args(["--id", "panics"]);
    let result = run(
        COMMAND,
        &mut parser,
        |_: almondwell_schema::RouterSettings| async {
            task::spawn(async { panic!("in a task") });
            std::thread::Builder::new()
                .name("worker".to_string())
                .spawn(|| panic!("in a thread"))?;
            task::sleep(Duration::from_millis(300)).await;
            spdlog::info!("alive after panics");
            eyre::bail!("the end")
        },
    );
    process::exit(if result.is_err() { 7 } else { 0 });
}

// Guards against panics and errors that no line of the log tells of, and against a process that a panic of one task ends.
#[test]
fn logs_panics_and_the_error_that_ends_the_process() {
    let program = std::env::current_exe().expect("the test should know its program");
    let output = process::Command::new(program)
        .args(["--exact", "child", "--nocapture"])
        .env(CHILD, "1")
        .output()
        .expect("the test should run itself");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(7), "{text}");
    for parts in [
        ["\"payload\":\"panic\"", "in a task", "panics.rs:"],
        [
            "\"payload\":\"panic\"",
            "in a thread",
            "\"thread\":\"worker\"",
        ],
        ["\"payload\":\"alive after panics\"", "", ""],
        ["\"payload\":\"process failed\"", "the end", "\"peak_kib\":"],
    ] {
        let is_found = |line: &str| parts.iter().all(|part| line.contains(part));
        assert!(text.lines().any(is_found), "no {parts:?} in {text}");
    }
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("panicked at"), "{errors}");
}
