//! How a process learns of a configuration from the store itself.

mod support;

use almondwell_configuration::{KEY, watch};
use almondwell_platform::{Expect, Objects, Written};
use async_std::task;
use eyre::{Result, bail};
use fakes::poll::until;
use platform_fakes::store::Store;
use std::sync::Arc;
use std::time::Duration;
use support::Process;

/// Within which an accepted configuration is in force everywhere.
const BOUND: Duration = Duration::from_secs(5);
const CONFIG: &[u8] = br#"{"author": "mika", "publish": 1, "replaced": [], "services": []}"#;

async fn publish(objects: &Objects, expect: Expect) -> Result<u64> {
    match objects.put(KEY, CONFIG, expect).await? {
        Written::Conflict => bail!("another came first"),
        Written::Done(version) => Ok(version),
    }
}

/// A side that has just started and that no entry has spoken to.
#[test]
fn a_process_that_knows_nobody_follows_the_store() -> Result<()> {
    task::block_on(async {
        let store = Store::start()?;
        let objects = Objects::new(store.address());
        let first = publish(&objects, Expect::Absent).await?;
        let process = Arc::new(Process::new(store.address()));
        let watcher = process.clone();
        task::spawn(async move { watch(&*watcher).await });
        until("the first version", BOUND, async || {
            Ok(process.adopted() == [first])
        })
        .await?;
        // It has begun to wait for what comes next.
        task::sleep(Duration::from_millis(500)).await;
        let second = publish(&objects, Expect::Version(first)).await?;
        until("the second version", BOUND, async || {
            Ok(process.adopted() == [first, second])
        })
        .await?;
        Ok(())
    })
}
