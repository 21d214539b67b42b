//! Demonstration: mixed traffic against a small local installation.

use async_std::task;
use eyre::Result;
use fakes::set::{Set, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CALLERS: usize = 24;
const CALLS_PER_CALLER: usize = 20;
/// Name, latency target and output tokens of each class of chat completions.
const CLASSES: [(&str, Duration, u64); 3] = [
    ("urgent", Duration::from_secs(1), 20),
    ("summary", Duration::from_secs(2), 60),
    ("review", Duration::from_secs(10), 200),
];

/// Class of a call, whether it succeeded and whether it met its target.
type Sample = (&'static str, bool, bool);

/// Starts the processes, sends mixed traffic and prints target attainment by class.
pub(crate) fn run() -> Result<()> {
    task::block_on(async {
        println!(
            "starting a fake platform, 2 entries, 3 fake engines and a fake booking service on 127.0.0.1"
        );
        let settings = Settings {
            engines: 3,
            ..Settings::default()
        };
        let set = Arc::new(Set::start(settings).await?);
        println!(
            "sending {} calls from {CALLERS} callers",
            CALLERS * CALLS_PER_CALLER
        );
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| task::spawn(send_calls(set.clone(), caller)))
            .collect();
        let mut samples = Vec::new();
        for caller in callers {
            samples.extend(caller.await?);
        }
        print_attainment(&samples);
        Ok(())
    })
}

async fn send_calls(set: Arc<Set>, caller: usize) -> Result<Vec<Sample>> {
    let mut samples = Vec::new();
    for number in 0..CALLS_PER_CALLER {
        let start = Instant::now();
        let entry = (caller + number) % set.entries.len();
        if (caller + number).is_multiple_of(4) {
            let key = format!("{caller}-{number}");
            let answer = set.order(entry, "booking", &key, "hammock").await?;
            let is_ok = answer.status() == 200;
            samples.push((
                "booking",
                is_ok,
                is_ok && start.elapsed() < Duration::from_secs(2),
            ));
            continue;
        }
        let (class, target, tokens) = CLASSES[(caller + number) % CLASSES.len()];
        let prompt = format!("caller {caller} call {number}");
        let answer = set.chat(entry, class, &prompt, tokens).await?;
        let is_ok = answer.status() == 200;
        samples.push((class, is_ok, is_ok && start.elapsed() < target));
    }
    Ok(samples)
}

fn print_attainment(samples: &[Sample]) {
    let mut rows: BTreeMap<&str, [usize; 3]> = BTreeMap::new();
    for (class, is_ok, is_met) in samples {
        let counts = rows.entry(class).or_default();
        counts[0] += 1;
        counts[1] += usize::from(*is_ok);
        counts[2] += usize::from(*is_met);
    }
    println!(
        "{:<10} {:>6} {:>9} {:>10}",
        "class", "calls", "answered", "in target"
    );
    for (class, [calls, answered, met]) in rows {
        println!("{class:<10} {calls:>6} {answered:>9} {met:>10}");
    }
}
