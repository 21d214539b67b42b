//! Runs commands and compares their complete output with that in the files of `cases`.

use datatest_stable::Utf8Path;
use eyre::{Result, WrapErr, ensure, eyre};
use fakes::process;
use serde_json::{Value, json};
use std::process::Command;

datatest_stable::harness! {
    { test = checks_service_file, root = "cases/service-files", pattern = r"\.ini$" },
    { test = runs_commands, root = "cases/commands", pattern = r"\.txt$" },
}

/// Compares the output of `almondwell check` for a service file with the `.out` file beside it.
fn checks_service_file(path: &Utf8Path) -> datatest_stable::Result<()> {
    let (folder, name) = split(path)?;
    let output = run(folder, &format!("almondwell check {name}"))?;
    let expected = std::fs::read_to_string(path.with_extension("out"))?;
    compare(&output, &expected)?;
    Ok(())
}

/// Runs each line that starts with `$ ` and compares the commands and outputs with the whole file.
fn runs_commands(path: &Utf8Path) -> datatest_stable::Result<()> {
    let (folder, _) = split(path)?;
    let expected = std::fs::read_to_string(path)?;
    let mut found = Vec::new();
    for command in expected.lines().filter_map(|line| line.strip_prefix("$ ")) {
        found.push(format!("$ {command}\n{}", run(folder, command)?));
    }
    compare(&found.concat(), &expected)?;
    Ok(())
}

fn split(path: &Utf8Path) -> Result<(&Utf8Path, &str)> {
    let folder = path.parent().ok_or_else(|| eyre!("{path} has no folder"))?;
    let name = path
        .file_name()
        .ok_or_else(|| eyre!("{path} has no name"))?;
    Ok((folder, name))
}

/// Standard output, standard error and exit code of `command`, run in `folder`.
fn run(folder: &Utf8Path, command: &str) -> Result<String> {
    let mut words = command.split_whitespace();
    let program = process::path(words.next().unwrap_or_default())?;
    let output = process::output(Command::new(program).args(words).current_dir(folder))
        .wrap_err_with(|| format!("cannot run `{command}`"))?;
    let code = output
        .status
        .code()
        .ok_or_else(|| eyre!("`{command}` was killed"))?;
    let [out, error] = [output.stdout, output.stderr].map(String::from_utf8);
    let out: String = out?.split_inclusive('\n').map(mask).collect();
    Ok(format!("{out}{}exit {code}\n", error?))
}

/// A line of output; in a log line, the values that differ between two runs are 0.
fn mask(line: &str) -> String {
    let Ok(mut log) = serde_json::from_str::<Value>(line) else {
        return line.to_string();
    };
    if log.get("payload").is_none() {
        return line.to_string();
    }
    for key in ["tid", "timestamp"] {
        log[key] = json!(0);
    }
    for key in ["descriptor_limit", "descriptors", "peak_kib"] {
        log["kv"][key] = json!(0);
    }
    format!("{log}\n")
}

fn compare(found: &str, expected: &str) -> Result<()> {
    ensure!(found == expected, "found\n{found}\nexpected\n{expected}");
    Ok(())
}
