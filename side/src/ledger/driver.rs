//! Executes the store operations that a shard requests, one at a time.

use super::Handle;
use almondwell_core::ledger::Step;
use async_std::future::timeout;
use std::sync::Arc;

const CHECKPOINT: &str = "checkpoint";

/// Drives the shard of `handle` until the process ends.
pub(crate) async fn drive(handle: Arc<Handle>) {
    loop {
        let woken = handle.wake.listen();
        let step = handle.shard().step(handle.clock.now());
        let reply = match step {
            Step::Idle => {
                woken.await;
                continue;
            }
            Step::Wait(time) => {
                let _ = timeout(time, woken).await;
                continue;
            }
            Step::ReadSegment(index) => handle.read(&index.to_string()).await,
            Step::ReadCheckpoint => handle.read(CHECKPOINT).await,
            Step::WriteSegment {
                expect,
                index,
                value,
            } => handle.write(&index.to_string(), expect, &value).await,
            Step::WriteCheckpoint { expect, value } => {
                handle.write(CHECKPOINT, expect, &value).await
            }
        };
        handle.shard().observe(handle.clock.now(), &reply);
        handle.changed.notify(usize::MAX);
    }
}
