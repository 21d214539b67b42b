//! Seeded fault injection: traffic to real processes under random faults, then consistency checks.

use crate::target::{Target, write_report};
use async_std::task;
use eyre::{Result, ensure};
use fakes::chaos::{self, Findings, Report, Settings};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use serde_json::{Value as Json, json};

/// Lines printed from each list of findings.
const MAX_LINES: usize = 5;

/// Runs with `--calls N`, `--callers N` and `--seed N`, prints the findings and fails if a target was
/// missed.
pub(crate) fn run(parser: &mut Parser) -> Result<()> {
    let mut settings = Settings::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("calls") => settings.calls = parser.value()?.parse()?,
            Long("callers") => settings.callers = parser.value()?.parse()?,
            Long("seed") => settings.seed = parser.value()?.parse()?,
            Long(_) | Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    println!("seed {}", settings.seed);
    let report = task::block_on(chaos::run(settings))?;
    print(&report);
    let targets = targets(&report);
    write_report("faults", settings.seed, &to_json(&report), &targets)?;
    ensure!(
        targets.iter().all(Target::is_met),
        "at least one target was missed"
    );
    Ok(())
}

fn targets(report: &Report) -> Vec<Target> {
    let findings = &report.findings;
    let starved = findings
        .classes
        .iter()
        .filter(|(_, served, _)| *served == 0)
        .count();
    let longest_wait = findings
        .classes
        .iter()
        .map(|(_, _, longest_wait)| longest_wait.as_secs_f64())
        .fold(0.0, f64::max);
    let count = |list: &Vec<String>| list.len() as f64;
    vec![
        Target::at_most("doubled", count(&findings.doubled), 0.0),
        Target::at_most("lost", count(&findings.lost), 0.0),
        Target::at_most("false_not_run", count(&findings.false_not_run), 0.0),
        Target::at_most("wrong_answers", count(&findings.wrong), 0.0),
        Target::at_most("reverted_versions", count(&findings.reverted), 0.0),
        Target::at_most(
            "configuration_everywhere_s",
            findings.propagation.as_secs_f64(),
            5.0,
        ),
        Target::at_most("starved_classes", starved as f64, 0.0),
        Target::at_most("longest_wait_s", longest_wait, 5.5),
        Target::at_least("non_idempotent_calls", findings.keys as f64, 10_000.0),
    ]
}

fn print(report: &Report) {
    let findings = &report.findings;
    for (kind, count) in &report.faults {
        println!("fault {:<16} {count:>5}", format!("{kind:?}"));
    }
    println!(
        "{} requests in {:.1} s; store calls {}",
        report.requests,
        report.elapsed.as_secs_f64(),
        report.store
    );
    for (name, count) in report.store.as_object().into_iter().flatten() {
        let count = count.as_f64().unwrap_or(0.0);
        println!(
            "store {name:<10} {:>8.1} a second {:>7.3} a request",
            count / report.elapsed.as_secs_f64(),
            count / report.requests as f64
        );
    }
    println!(
        "{} keys: {} ran, {} may have run, {} not run",
        findings.keys, findings.ran, findings.may_have_run, findings.not_run
    );
    println!("{:<10} {:>8} {:>12}", "class", "answered", "longest wait");
    for (class, served, longest_wait) in &findings.classes {
        println!(
            "{class:<10} {served:>8} {:>10.2} s",
            longest_wait.as_secs_f64()
        );
    }
    for recovery in &report.recoveries {
        let time = recovery.time.as_secs_f64();
        println!(
            "recovery after a kill of {:<22} {time:>8.3} s",
            recovery.kill
        );
    }
    for (name, list) in lists(findings) {
        for line in list.iter().take(MAX_LINES) {
            println!("{name}: {line}");
        }
    }
}

fn lists(findings: &Findings) -> [(&'static str, &Vec<String>); 5] {
    [
        ("doubled", &findings.doubled),
        ("lost", &findings.lost),
        ("false not run", &findings.false_not_run),
        ("wrong", &findings.wrong),
        ("reverted", &findings.reverted),
    ]
}

fn to_json(report: &Report) -> Json {
    let findings = &report.findings;
    let faults: Vec<_> = report
        .faults
        .iter()
        .map(|(kind, count)| json!({"count": count, "kind": format!("{kind:?}")}))
        .collect();
    let recoveries: Vec<_> = report
        .recoveries
        .iter()
        .map(|recovery| json!({"kill": recovery.kill, "seconds": recovery.time.as_secs_f64()}))
        .collect();
    let lists: Vec<_> = lists(findings)
        .into_iter()
        .map(|(name, list)| json!({"lines": list, "name": name}))
        .collect();
    json!({
        "elapsed_s": report.elapsed.as_secs_f64(),
        "faults": faults,
        "findings": lists,
        "keys": findings.keys,
        "may_have_run": findings.may_have_run,
        "not_run": findings.not_run,
        "ran": findings.ran,
        "recoveries": recoveries,
        "requests": report.requests,
        "store": report.store,
    })
}
