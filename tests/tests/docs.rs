//! Checks the documentation: its commands run, its tables are complete and its links have targets.

use crate::raw::Connection;
use almondwell_schema::{
    Class, EntrySettings, Key, RouterSettings, Service, Settings as Keys, SideSettings, Workspace,
};
use eyre::{Result, ensure, eyre};
use fakes::http::{call, request};
use fakes::process::{output, path};
use fakes::set::{Set, Settings};
use http_types::Method;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tests::cases;

/// Pages with commands, in the order in which an operator reads them.
const PAGES: [&str; 6] = [
    "README.md",
    "docs/operators/settings.md",
    "docs/operators/service-files.md",
    "docs/operators/publish.md",
    "docs/operators/report.md",
    "docs/operators/install.md",
];
const INDENT: &str = "    ";
const TIMEOUT: Duration = Duration::from_secs(10);

cases! {
    the_pages_commands_run(Settings::default()) = commands_run;
    the_readme_s_request_is_answered(Settings::default()) = request_is_answered;
    the_metrics_are_listed(Settings::default()) = metrics_are_listed;
}

/// Runs each line that starts with `$ ` in a folder with the files of the pages, and compares the output
/// with that on the page.
async fn commands_run(set: Set) -> Result<()> {
    set.chat(0, "urgent", "hammock", 1).await?;
    let addresses = addresses(&set);
    let folder = set.folder.join("pages");
    std::fs::create_dir_all(&folder)?;
    for page in PAGES {
        let text = read(page)?;
        for (name, file) in files(&text) {
            std::fs::write(folder.join(name), file)?;
        }
        for (command, shown) in commands(&text) {
            let found = run(&replace(&command, &addresses), &folder)?;
            let is_shown = normalize(&found).starts_with(&normalize(&shown));
            ensure!(
                is_shown,
                "{page}: {command}\nfound\n{found}\nshown\n{shown}"
            );
        }
    }
    Ok(())
}

async fn request_is_answered(set: Set) -> Result<()> {
    let text = read("README.md")?;
    let request: Vec<_> = text
        .lines()
        .skip_while(|line| !line.starts_with("    POST "))
        .take_while(|line| line.is_empty() || line.starts_with(INDENT))
        .map(|line| line.strip_prefix(INDENT).unwrap_or(line))
        .collect();
    let mut connection = Connection::open(set.entries[0].callers).await?;
    let bytes = request.join("\r\n");
    connection.send(bytes.trim_end().as_bytes()).await?;
    let answer = connection.answer().await?;
    ensure!(answer.status == 200, "{answer:?}");
    Ok(())
}

async fn metrics_are_listed(set: Set) -> Result<()> {
    set.chat(0, "urgent", "hammock", 1).await?;
    set.chat(0, "hasty", "hammock", 1).await?;
    let headers = [("Almondwell-Deadline", "1ms")];
    let body = fakes::set::chat_body("hammock", 50, false);
    set.post(0, "/v1/chat/completions", &headers, &body).await?;
    let page = read("docs/operators/metrics.md")?;
    let admins = [set.entries[0].admin, set.upstreams[0].admin];
    for (title, admin) in ["## Entry", "## Side"].into_iter().zip(admins) {
        let found = metrics(admin).await?;
        let listed = section(&page, title);
        let missing: Vec<_> = found
            .iter()
            .filter(|row| !listed.contains(row.as_str()))
            .map(String::as_str)
            .collect();
        ensure!(
            missing.is_empty(),
            "add under `{title}`:\n{}",
            missing.join("\n")
        );
        let rows = listed
            .lines()
            .filter(|line| line.starts_with("| `"))
            .count();
        ensure!(
            rows == found.len(),
            "`{title}` lists metrics that do not exist"
        );
    }
    Ok(())
}

/// Declares tests, one per line: a page and the keys that its table lists.
macro_rules! tables {
    ($($name:ident: $page:literal lists $keys:expr;)*) => {
        $(#[test]
        fn $name() -> Result<()> {
            lists_keys($page, $keys)
        })*
    };
}

tables! {
    the_entry_s_settings_are_listed: "docs/operators/settings.md" lists EntrySettings::KEYS;
    the_router_s_settings_are_listed: "docs/operators/settings.md" lists RouterSettings::KEYS;
    the_side_s_settings_are_listed: "docs/operators/settings.md" lists SideSettings::KEYS;
    the_service_s_keys_are_listed: "docs/operators/service-files.md" lists Service::KEYS;
    the_class_s_keys_are_listed: "docs/operators/service-files.md" lists Class::KEYS;
    the_workspace_s_keys_are_listed: "docs/operators/service-files.md" lists Workspace::KEYS;
}

#[test]
fn the_readme_has_the_demo_and_test_commands() -> Result<()> {
    let readme = read("README.md")?;
    ensure!(readme.contains("\n    cargo run -p bench -- demo\n"));
    ensure!(readme.contains("\n    bin/test\n"));
    ensure!(read(".ci/run")?.lines().last() == Some("bin/test"));
    let output = output(Command::new(path("bench")?).arg("demo"))?;
    let text = String::from_utf8(output.stdout)?;
    ensure!(output.status.success(), "{text}");
    ensure!(text.contains("answered  in target"), "{text}");
    Ok(())
}

#[test]
fn the_links_have_targets() -> Result<()> {
    let mut pages = vec![root().join("README.md"), root().join("CONTRIBUTING.md")];
    collect_pages(&root().join("docs"), &mut pages)?;
    for page in pages {
        let text = std::fs::read_to_string(&page)?;
        for link in text.split("](").skip(1) {
            let link = link.split([')', '#']).next().unwrap_or_default();
            if link.is_empty() || link.starts_with("http") {
                continue;
            }
            let target = page.with_file_name("").join(link);
            ensure!(
                target.exists(),
                "{}: the link target `{link}` does not exist",
                page.display()
            );
        }
    }
    Ok(())
}

fn lists_keys(page: &str, keys: &[Key]) -> Result<()> {
    let text = read(page)?;
    for key in keys {
        let default = match key.default {
            "" => String::new(),
            default => format!("`{default}` "),
        };
        let row = format!("| `{}` | {default}| {} |", key.name, key.description);
        ensure!(text.contains(&row), "add to {page}:\n{row}");
    }
    Ok(())
}

/// Table rows of all metrics that `admin` serves.
async fn metrics(admin: SocketAddr) -> Result<Vec<String>> {
    let page = request(Method::Get, admin, "/metrics", &[], "");
    let text = call(admin, page, TIMEOUT).await?.text();
    let mut helps = BTreeMap::new();
    let mut rows = Vec::new();
    for line in text.lines() {
        if let Some((name, help)) = line
            .strip_prefix("# HELP ")
            .and_then(|rest| rest.split_once(' '))
        {
            helps.insert(name, help.trim_end_matches('.'));
        }
        if let Some((name, kind)) = line
            .strip_prefix("# TYPE ")
            .and_then(|rest| rest.split_once(' '))
        {
            let help = helps
                .get(name)
                .ok_or_else(|| eyre!("`{name}` has no help"))?;
            let suffix = if kind == "counter" { "_total" } else { "" };
            rows.push(format!("| `{name}{suffix}` | {kind} | {help} |"));
        }
    }
    Ok(rows)
}

fn addresses(set: &Set) -> [(&'static str, SocketAddr); 4] {
    [
        ("127.0.0.1:8000", set.platform),
        ("127.0.0.1:8080", set.entries[0].callers),
        ("127.0.0.1:8082", set.entries[0].admin),
        ("127.0.0.1:8182", set.upstreams[0].admin),
    ]
}

fn replace(command: &str, addresses: &[(&str, SocketAddr)]) -> String {
    addresses
        .iter()
        .fold(command.to_string(), |command, (shown, address)| {
            command.replace(shown, &address.to_string())
        })
}

/// Runs a command; a daemon is run with `--check`, so that it only checks its settings.
fn run(command: &str, folder: &Path) -> Result<String> {
    let mut words: Vec<_> = command.split_whitespace().collect();
    let is_daemon = words[0] == "almondwell-side" || words.get(1) == Some(&"serve");
    if is_daemon && !words.contains(&"--check") {
        words.push("--check");
    }
    let mut command_line = Command::new(path(words[0])?);
    let output = output(command_line.args(&words[1..]).current_dir(folder))?;
    let errors = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "{command}: {errors}");
    Ok(String::from_utf8(output.stdout)?)
}

/// Names and contents of the files that a page shows after a line such as "File `entry.ini`:".
fn files(page: &str) -> Vec<(String, String)> {
    let lines: Vec<_> = page.lines().collect();
    let named = lines.iter().enumerate().filter_map(|(index, line)| {
        let name = line.strip_prefix("File `")?.strip_suffix("`:")?;
        Some((index + 1, name))
    });
    named
        .map(|(start, name)| {
            let text: Vec<_> = lines[start..]
                .iter()
                .take_while(|line| line.is_empty() || line.starts_with(INDENT))
                .map(|line| line.strip_prefix(INDENT).unwrap_or(line))
                .collect();
            (name.to_string(), text.join("\n"))
        })
        .collect()
}

/// Commands of a page, each with the output that the page shows.
fn commands(page: &str) -> Vec<(String, String)> {
    let mut commands: Vec<(String, String)> = Vec::new();
    let mut is_output = false;
    for line in page.lines() {
        let Some(line) = line.strip_prefix(INDENT) else {
            is_output = false;
            continue;
        };
        if let Some(command) = line.strip_prefix("$ ") {
            commands.push((command.to_string(), String::new()));
            is_output = true;
        } else if is_output && let Some((_, shown)) = commands.last_mut() {
            shown.push_str(line);
            shown.push('\n');
        }
    }
    commands
}

/// Removes what differs between runs: numbers and the width of columns.
fn normalize(text: &str) -> String {
    let digits = |word: &str| -> String {
        let mut word: Vec<_> = word
            .chars()
            .map(|letter| if letter.is_ascii_digit() { '#' } else { letter })
            .collect();
        word.dedup_by(|a, b| *a == '#' && *b == '#');
        word.into_iter().collect()
    };
    text.split_whitespace()
        .map(digits)
        .collect::<Vec<_>>()
        .join(" ")
}

/// Text of a page under the heading `title`.
fn section<'a>(page: &'a str, title: &str) -> &'a str {
    let start = page
        .find(title)
        .map_or(page.len(), |start| start + title.len());
    let rest = &page[start..];
    &rest[..rest.find("\n## ").unwrap_or(rest.len())]
}

fn collect_pages(folder: &Path, pages: &mut Vec<PathBuf>) -> Result<()> {
    for item in std::fs::read_dir(folder)? {
        let item = item?.path();
        if item.is_dir() {
            collect_pages(&item, pages)?;
        } else if item.extension().is_some_and(|extension| extension == "md") {
            pages.push(item);
        }
    }
    Ok(())
}

fn read(page: &str) -> Result<String> {
    let path = root().join(page);
    std::fs::read_to_string(&path).map_err(|error| eyre!("{}: {error}", path.display()))
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
