//! Runs commands and compares their complete output with that in the files of `cases`.

use datatest_stable::Utf8Path;
use eyre::{Result, WrapErr, ensure, eyre};
use fakes::process;
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
    Ok(format!("{}{}exit {code}\n", out?, error?))
}

fn compare(found: &str, expected: &str) -> Result<()> {
    ensure!(found == expected, "found\n{found}\nexpected\n{expected}");
    Ok(())
}
