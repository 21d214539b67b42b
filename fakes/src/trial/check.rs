//! Checks what must hold, from what callers were told and what the stand-ins recorded.

use super::book::{Book, Entry, Told};
use super::versions::Versions;
use crate::set::Set;
use eyre::{OptionExt, Result};
use std::collections::BTreeMap;
use std::time::Duration;

/// What the checks found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Keys whose caller was told that they ran.
    pub booked: u64,
    /// Whole answers and the longest wait, by class.
    pub classes: Vec<(&'static str, u64, Duration)>,
    /// Keys that ran more than once.
    pub doubled: Vec<String>,
    /// Keys that never ran though each attempt or the last said not run; or the reverse.
    pub false_not_run: Vec<String>,
    /// Keys.
    pub keys: u64,
    /// Keys told to have run that have no run, or that got no word after healing.
    pub lost: Vec<String>,
    /// Keys whose last word is that they may have run.
    pub may_have_run: u64,
    /// Keys whose last word is that they were not run.
    pub not_run: u64,
    /// Times that an instance showed a lower version than before, other than after a restart.
    pub reverted: Vec<String>,
    /// Time until the last version was in force everywhere after healing.
    pub spread: Duration,
    /// Answers that passed as whole and were not.
    pub wrong: Vec<String>,
}

pub(super) async fn check(
    set: &Set,
    book: &Book,
    versions: &Versions,
    spread: Duration,
) -> Result<Findings> {
    let runs = runs(set).await?;
    let mut findings = Findings {
        classes: book.classes(),
        reverted: versions.reverted(),
        spread,
        wrong: book.wrongs(),
        ..Findings::default()
    };
    for (key, entry) in book.keys() {
        let count = runs.get(&key).copied().unwrap_or(0);
        check_key(&mut findings, &key, &entry, count);
    }
    Ok(findings)
}

fn check_key(findings: &mut Findings, key: &str, entry: &Entry, runs: u64) {
    let line = || format!("{key}: {runs} runs, told {:?}", entry.attempts);
    findings.keys += 1;
    if runs > 1 {
        findings.doubled.push(line());
    }
    match entry.attempts.last() {
        Some(Told::Ran) => {
            findings.booked += 1;
            if runs == 0 {
                findings.lost.push(line());
            }
        }
        Some(Told::MayHaveRun) => findings.may_have_run += 1,
        Some(Told::NotRun) => {
            findings.not_run += 1;
            if !entry.is_left {
                findings.lost.push(line());
            }
        }
        Some(Told::Nothing) | None => findings.lost.push(line()),
    }
    let is_refused = entry.attempts.iter().all(|told| *told == Told::NotRun);
    if is_refused && runs > 0 {
        findings.false_not_run.push(line());
    }
}

/// Runs by key over all order desks, kept by them through kills.
async fn runs(set: &Set) -> Result<BTreeMap<String, u64>> {
    let mut runs = BTreeMap::new();
    for upstream in &set.upstreams {
        if upstream.pool != "orders" {
            continue;
        }
        let records = set.read(upstream.address, "/records").await?;
        let counted = records["runs"].as_object();
        let counted = counted.ok_or_eyre("the order desk's records have no `runs`")?;
        for (key, count) in counted {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    Ok(runs)
}
