//! Runs the `publish` command and reads its outcome.

use async_std::task;
use eyre::Result;
use fakes::process::{output, path};
use fakes::set::{DRAFTING, ORDERS, Set};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use crate::poll::until;

/// A run of the `publish` command.
#[derive(Clone, Debug)]
pub struct Publish {
    /// Value of `--author`.
    pub author: String,
    folder: PathBuf,
    /// Value of `--patience`: the time for which the command retries the platform.
    pub patience: &'static str,
    platform: SocketAddr,
}

/// Outcome of the command.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Standard error.
    pub errors: String,
    /// Published version; none if the command failed.
    pub version: Option<u64>,
}

impl Publish {
    /// Creates a command that publishes the services of the set as `author`.
    pub fn new(set: &Set, author: &str) -> Self {
        Self {
            author: author.to_string(),
            folder: set.folder.clone(),
            patience: "20s",
            platform: set.platform,
        }
    }

    /// Runs the command and waits for it to end.
    pub async fn run(self) -> Result<Outcome> {
        task::spawn_blocking(move || self.run_blocking()).await
    }

    fn run_blocking(self) -> Result<Outcome> {
        let mut command = Command::new(path("almondwell")?);
        command
            .args(["publish", "--platform", &self.platform.to_string()])
            .args(["--author", &self.author, "--patience", self.patience]);
        for (name, text) in [("drafting", DRAFTING), ("orders", ORDERS)] {
            let file = self.folder.join(format!("{name}-{}.ini", self.author));
            std::fs::write(&file, text)?;
            command.arg(file);
        }
        let output = output(&mut command)?;
        let text = String::from_utf8_lossy(&output.stdout);
        let version = text
            .trim()
            .strip_prefix("published version ")
            .and_then(|version| version.parse().ok());
        Ok(Outcome {
            errors: String::from_utf8_lossy(&output.stderr).into_owned(),
            version: version.filter(|_| output.status.success()),
        })
    }
}

/// Configuration versions that are in force at the entries, then at the sides.
pub async fn versions(set: &Set) -> Result<Vec<u64>> {
    let entries = set.entries.iter().map(|entry| entry.admin);
    let sides = set.upstreams.iter().map(|upstream| upstream.admin);
    let mut versions = Vec::new();
    for admin in entries.chain(sides) {
        let status: Value = set.read(admin, "/status").await?;
        versions.push(status["version"].as_u64().unwrap_or(0));
    }
    Ok(versions)
}

/// Waits until all entries and sides report `version` or a later one; returns the elapsed time.
///
/// A process that does not listen yet counts as one that does not have the version.
///
/// # Errors
///
/// After `limit`.
pub async fn until_everywhere(set: &Set, version: u64, limit: Duration) -> Result<Duration> {
    let start = Instant::now();
    until("the version to be in force everywhere", limit, || async {
        let held = versions(set).await.unwrap_or_default();
        Ok(!held.is_empty() && held.iter().all(|held| *held >= version))
    })
    .await?;
    Ok(start.elapsed())
}
