//! Short random runs with fixed seeds; `bench -- faults` makes longer ones.

use eyre::{Result, ensure};
use fakes::trial::{Settings, run};
use std::time::Duration;

/// Longest time until an accepted configuration is in force everywhere.
const SPREAD: Duration = Duration::from_secs(5);

macro_rules! seeds {
    ($($name:ident($seed:expr);)*) => {
        $(#[test]
        fn $name() {
            if let Err(error) = async_std::task::block_on(holds($seed)) {
                panic!("{error:?}");
            }
        })*
    };
}

seeds! {
    holds_with_seed_1(1);
    holds_with_seed_7(7);
}

async fn holds(seed: u64) -> Result<()> {
    let report = run(Settings {
        calls: 1000,
        recovery: false,
        seed,
        ..Settings::default()
    })
    .await?;
    let findings = report.findings;
    let faults = report.faults;
    println!("seed {seed}, faults {faults:?}");
    ensure!(
        findings.doubled.is_empty(),
        "doubled: {:?}",
        findings.doubled
    );
    ensure!(findings.lost.is_empty(), "lost: {:?}", findings.lost);
    let refused = findings.false_not_run;
    ensure!(refused.is_empty(), "ran in spite of `not run`: {refused:?}");
    ensure!(findings.wrong.is_empty(), "wrong: {:?}", findings.wrong);
    let reverted = findings.reverted;
    ensure!(reverted.is_empty(), "configuration reverted: {reverted:?}");
    ensure!(findings.spread < SPREAD, "{:?}", findings.spread);
    for (class, served, _) in findings.classes {
        ensure!(served > 0, "no call of {class} was answered");
    }
    Ok(())
}
