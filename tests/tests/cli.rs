//! Command lines of the daemons: the help lists the keys of the schema, and a port that is in use is
//! named and waited for.

use almondwell_schema::{EntrySettings, Key, RouterSettings, Settings, SideSettings};
use eyre::{Result, ensure};
use fakes::process::{Process, free_address, output, path};
use std::fs::File;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Declares tests, one per line: a program, its arguments and the keys that its help lists.
macro_rules! help_lists_keys {
    ($($name:ident: $program:literal $arguments:expr => $keys:expr;)*) => {
        $(#[test]
        fn $name() -> Result<()> {
            lists_keys($program, &$arguments, $keys)
        })*
    };
}

help_lists_keys! {
    the_entry_lists_its_keys: "almondwell" ["serve", "--help"] => EntrySettings::KEYS;
    the_side_lists_its_keys: "almondwell-side" ["--help"] => SideSettings::KEYS;
    the_router_lists_its_keys: "almondwell" ["route", "--help"] => RouterSettings::KEYS;
    the_side_accepts_the_short_help_flag: "almondwell-side" ["-h"] => SideSettings::KEYS;
}

/// Declares tests, one per line: a program that finds one of its ports in use, and the key of that port.
macro_rules! ports_in_use {
    ($($name:ident: $program:literal $arguments:expr => $key:literal;)*) => {
        $(#[test]
        fn $name() -> Result<()> {
            names_port_in_use($program, &$arguments, $key)
        })*
    };
}

ports_in_use! {
    the_entry_names_its_admin_port_in_use: "almondwell" ["serve"] => "admin";
    the_entry_names_its_callers_port_in_use: "almondwell" ["serve"] => "callers";
    the_entry_names_its_control_port_in_use: "almondwell" ["serve"] => "control";
    the_side_names_its_admin_port_in_use: "almondwell-side" ["--pool", "drafting"] => "admin";
    the_side_names_its_control_port_in_use: "almondwell-side" ["--pool", "drafting"] => "control";
}

/// Declares tests, one per line: environment variables, flags of a router, and what checking its settings prints.
macro_rules! variables {
    ($($name:ident: $variables:expr, $flags:expr => $printed:literal;)*) => {
        $(#[test]
        fn $name() -> Result<()> {
            checks_variables(&$variables, &$flags, $printed)
        })*
    };
}

variables! {
    a_variable_sets_a_key: [("ALMONDWELL_ROUTER_MEMORY", "21")], []
        => "almondwell: wrong settings\nALMONDWELL_ROUTER_MEMORY: expected 0, or 22 or more\n";
    an_empty_variable_keeps_the_default: [("ALMONDWELL_ROUTER_MEMORY", ""), ("ALMONDWELL_ROUTER_LEASE", "")], [] => "settings of almondwell route are right\n";
    a_flag_overrides_a_variable: [("ALMONDWELL_ROUTER_MEMORY", "21")], ["--memory", "22"] => "settings of almondwell route are right\n";
    a_variable_of_another_section_is_ignored: [("ALMONDWELL_ENTRY_SAMPLES", "none")], [] => "settings of almondwell route are right\n";
    an_invalid_variable_is_an_error: [("ALMONDWELL_ROUTER_LEASE", "ms")], []
        => "almondwell: wrong settings\nALMONDWELL_ROUTER_LEASE ms: expected a duration such as 250ms, 2s, 5m or 1h\n";
    an_unknown_variable_is_an_error: [("ALMONDWELL_ROUTER_MEMROY", "22")], []
        => "almondwell: wrong settings\nunknown environment variable `ALMONDWELL_ROUTER_MEMROY`; did you mean `ALMONDWELL_ROUTER_MEMORY`?\n";
}

fn checks_variables(variables: &[(&str, &str)], flags: &[&str], printed: &str) -> Result<()> {
    let mut command = Command::new(path("almondwell")?);
    command.args(["route", "--check"]).args(flags);
    command.envs(variables.iter().copied());
    let output = output(&mut command)?;
    let text = String::from_utf8([output.stdout, output.stderr].concat())?;
    ensure!(text == printed, "{text}");
    Ok(())
}

fn names_port_in_use(program: &str, arguments: &[&str], key: &str) -> Result<()> {
    let address = free_address()?;
    let taken = TcpListener::bind(address)?;
    let mut arguments: Vec<_> = arguments.iter().map(ToString::to_string).collect();
    for other in ["admin", "callers", "control"] {
        if other == key {
            arguments.extend([format!("--{key}"), address.to_string()]);
        } else if other != "callers" || program == "almondwell" {
            arguments.extend([format!("--{other}"), free_address()?.to_string()]);
        }
    }
    let name = format!("port-in-use-{}.log", address.port());
    let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut process = Process::start_with_output(program, &arguments, File::create(&log)?)?;
    let place = format!("\"key\":\"{key}\",\"address\":\"{address}\"");
    wait_for_line(&log, &["waiting for an address", &place])?;
    std::thread::sleep(Duration::from_secs(1));
    let status = process.exit_status();
    ensure!(status.is_none(), "ended: {status:?}");
    drop(taken);
    wait_for_line(&log, &["address bound after a wait", &place])?;
    TcpStream::connect(address)?;
    process.signal("TERM")?;
    let status = process.wait(TIMEOUT)?;
    ensure!(status.success(), "{status}");
    Ok(())
}

/// Waits until a line of the file `path` contains all of `parts`.
fn wait_for_line(path: &Path, parts: &[&str]) -> Result<()> {
    let start = Instant::now();
    loop {
        let text = std::fs::read_to_string(path)?;
        let is_found = |line: &str| parts.iter().all(|part| line.contains(part));
        if text.lines().any(is_found) {
            return Ok(());
        }
        ensure!(start.elapsed() < TIMEOUT, "no {parts:?} in {text}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn lists_keys(program: &str, arguments: &[&str], keys: &[Key]) -> Result<()> {
    let output = output(Command::new(path(program)?).args(arguments))?;
    ensure!(output.status.success());
    ensure!(output.stderr.is_empty());
    let text = String::from_utf8(output.stdout)?;
    let listed: Vec<_> = text
        .lines()
        .skip_while(|line| !line.starts_with("keys of the section"))
        .skip(1)
        .collect();
    ensure!(
        listed.len() == keys.len(),
        "expected {} keys, got {} in\n{text}",
        keys.len(),
        listed.len()
    );
    for (line, key) in listed.iter().zip(keys) {
        let (name, rest) = line.trim().split_once("  ").unwrap_or((line, ""));
        let default = match key.default {
            "" => String::new(),
            text => format!(" [{text}]"),
        };
        ensure!(
            name == key.name,
            "expected the key `{}`, got the line `{line}`",
            key.name
        );
        ensure!(
            rest.trim() == format!("{}{default}", key.description),
            "expected the text `{}{default}`, got the line `{line}`",
            key.description
        );
        ensure!(
            key.description.ends_with('.'),
            "`{name}` has a description that is not a sentence"
        );
    }
    Ok(())
}

/// Guards against a reload signal that ends a process which has not read its settings yet.
#[test]
fn a_reload_signal_at_the_start_is_survived() -> Result<()> {
    let settings = Path::new(env!("CARGO_TARGET_TMPDIR")).join("late-settings.ini");
    // A file of an earlier run may be there.
    let _ = std::fs::remove_file(&settings);
    ensure!(Command::new("mkfifo").arg(&settings).status()?.success());
    let flags = ["route", "--settings", &settings.to_string_lossy()].map(String::from);
    let mut process = Process::start("almondwell", &flags)?;
    // The process has opened its end once this one can be opened.
    let writer = File::options().write(true).open(&settings)?;
    process.signal("HUP")?;
    std::thread::sleep(Duration::from_millis(300));
    let status = process.exit_status();
    drop(writer);
    ensure!(status.is_none(), "ended: {status:?}");
    Ok(())
}
