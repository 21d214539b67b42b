//! Carries out a shard's steps at the store, one at a time.

use super::Held;
use almondwell_core::ledger::Step;
use async_std::future::timeout;
use std::sync::Arc;

const CHECKPOINT: &str = "checkpoint";

/// Drives `held` until the process ends.
pub(crate) async fn drive(held: Arc<Held>) {
    loop {
        let woken = held.wake.listen();
        let step = held.shard().step(held.clock.now());
        let reply = match step {
            Step::Idle => {
                woken.await;
                continue;
            }
            Step::Wait(time) => {
                let _ = timeout(time, woken).await;
                continue;
            }
            Step::ReadSegment(slot) => held.read(&slot.to_string()).await,
            Step::ReadCheckpoint => held.read(CHECKPOINT).await,
            Step::WriteSegment {
                expect,
                slot,
                value,
            } => held.write(&slot.to_string(), expect, &value).await,
            Step::WriteCheckpoint { expect, value } => held.write(CHECKPOINT, expect, &value).await,
        };
        held.shard().observe(held.clock.now(), &reply);
        held.changed.notify(usize::MAX);
    }
}
