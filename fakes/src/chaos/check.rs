//! Checks the invariants of a run against the outcomes that callers saw and the records of the fakes.

use super::history::{Booking, History, Outcome};
use super::versions::Versions;
use crate::set::Set;
use eyre::{OptionExt, Result};
use std::collections::BTreeMap;
use std::time::Duration;

/// Findings of the checks.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Number of keys whose last attempt got a complete answer.
    pub ran: u64,
    /// Number of complete answers and longest wait of each class.
    pub classes: Vec<(&'static str, u64, Duration)>,
    /// Keys that ran more than once.
    pub doubled: Vec<String>,
    /// Keys that ran although every attempt was answered with the verdict not-run.
    pub false_not_run: Vec<String>,
    /// Number of keys.
    pub keys: u64,
    /// Keys that were answered as run but have no run, and keys that got no final outcome after all
    /// faults had ended.
    pub lost: Vec<String>,
    /// Number of keys whose last outcome is that they may have run.
    pub may_have_run: u64,
    /// Number of keys whose last outcome is that they did not run.
    pub not_run: u64,
    /// Cases in which an instance reported a lower configuration version than before, other than
    /// version 0 after a restart.
    pub reverted: Vec<String>,
    /// Time until the last configuration was in force at all instances, after all faults had ended.
    pub propagation: Duration,
    /// Answers that were delivered as complete but differ from those of the upstream.
    pub wrong: Vec<String>,
}

pub(super) async fn check(
    set: &Set,
    history: &History,
    versions: &Versions,
    propagation: Duration,
) -> Result<Findings> {
    let runs = runs(set).await?;
    let mut findings = Findings {
        classes: history.classes(),
        reverted: versions.reverted(),
        propagation,
        wrong: history.wrong_answers(),
        ..Findings::default()
    };
    for (key, booking) in history.bookings() {
        let count = runs.get(&key).copied().unwrap_or(0);
        check_key(&mut findings, &key, &booking, count);
    }
    Ok(findings)
}

fn check_key(findings: &mut Findings, key: &str, booking: &Booking, runs: u64) {
    let line = || format!("{key}: {runs} runs, outcomes {:?}", booking.attempts);
    findings.keys += 1;
    if runs > 1 {
        findings.doubled.push(line());
    }
    match booking.attempts.last() {
        Some(Outcome::Ran) => {
            findings.ran += 1;
            if runs == 0 {
                findings.lost.push(line());
            }
        }
        Some(Outcome::MayHaveRun) => findings.may_have_run += 1,
        Some(Outcome::NotRun) => {
            findings.not_run += 1;
            if !booking.is_abandoned {
                findings.lost.push(line());
            }
        }
        Some(Outcome::Nothing) | None => findings.lost.push(line()),
    }
    let is_refused = booking
        .attempts
        .iter()
        .all(|outcome| *outcome == Outcome::NotRun);
    if is_refused && runs > 0 {
        findings.false_not_run.push(line());
    }
}

/// Number of runs by key over all order services, which keep their records when killed.
async fn runs(set: &Set) -> Result<BTreeMap<String, u64>> {
    let mut runs = BTreeMap::new();
    for upstream in &set.upstreams {
        if upstream.pool != "orders" {
            continue;
        }
        let records = set.read(upstream.address, "/records").await?;
        let counted = records["runs"].as_object();
        let counted =
            counted.ok_or_eyre("the order service's page `/records` has no object `runs`")?;
        for (key, count) in counted {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    Ok(runs)
}
