//! Short random fault-injection runs with fixed seeds; `bench -- faults` makes longer ones.

use eyre::{Result, ensure};
use fakes::chaos::{Settings, run};
use std::time::Duration;

/// Time within which an accepted configuration must be in force everywhere.
const MAX_PROPAGATION: Duration = Duration::from_secs(5);

macro_rules! seeds {
    ($($name:ident($seed:expr);)*) => {
        $(#[test]
        fn $name() {
            if let Err(error) = async_std::task::block_on(invariants_hold($seed)) {
                panic!("{error:?}");
            }
        })*
    };
}

seeds! {
    invariants_hold_with_seed_1(1);
    invariants_hold_with_seed_7(7);
}

async fn invariants_hold(seed: u64) -> Result<()> {
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
        "keys that ran more than once: {:?}",
        findings.doubled
    );
    ensure!(findings.lost.is_empty(), "lost keys: {:?}", findings.lost);
    let refused = findings.false_not_run;
    ensure!(
        refused.is_empty(),
        "keys that ran despite the verdict not-run: {refused:?}"
    );
    ensure!(
        findings.wrong.is_empty(),
        "wrong answers: {:?}",
        findings.wrong
    );
    let reverted = findings.reverted;
    ensure!(reverted.is_empty(), "configuration reverted: {reverted:?}");
    ensure!(
        findings.propagation < MAX_PROPAGATION,
        "expected the configuration everywhere within {MAX_PROPAGATION:?}, got {:?}",
        findings.propagation
    );
    for (class, served, _) in findings.classes {
        ensure!(served > 0, "no call of the class {class} was answered");
    }
    Ok(())
}
