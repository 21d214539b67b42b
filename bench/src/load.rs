//! Open-loop load at a constant rate.

use async_std::task;
use eyre::{Result, eyre};
use fakes::set::Set;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Kind of call to send.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Call {
    /// A chat completion of this many tokens.
    Chat(u64),
    /// A booking with a unique idempotency key.
    Order,
}

/// Number of calls sent, and of those answered with status 200.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) answered: usize,
    pub(crate) sent: usize,
}

/// Sends `rate` calls per second for `time`, to the entries in turn and without waiting for answers;
/// then waits for all answers.
pub(crate) async fn send(set: &Arc<Set>, call: Call, rate: u32, time: Duration) -> Result<Outcome> {
    let start = Instant::now();
    let total = rate
        * u32::try_from(time.as_secs())
            .map_err(|_| eyre!("load duration in seconds exceeds 32 bits"))?;
    let mut calls = Vec::new();
    for number in 0..total {
        let due = Duration::from_secs(1) * number / rate;
        task::sleep(due.saturating_sub(start.elapsed())).await;
        let set = set.clone();
        calls.push(task::spawn(
            async move { send_one(&set, call, number).await },
        ));
    }
    let mut outcome = Outcome {
        sent: calls.len(),
        ..Outcome::default()
    };
    for call in calls {
        outcome.answered += usize::from(call.await);
    }
    Ok(outcome)
}

async fn send_one(set: &Set, call: Call, number: u32) -> bool {
    let entry = number as usize % set.entries.len();
    let answer = match call {
        Call::Chat(tokens) => {
            set.chat(entry, "summary", &format!("call {number}"), tokens)
                .await
        }
        Call::Order => {
            let key = format!("load-{:p}-{number}", std::ptr::from_ref(set));
            set.order(entry, "booking", &key, "hammock").await
        }
    };
    answer.is_ok_and(|answer| answer.status() == 200)
}
