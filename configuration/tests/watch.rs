//! A process reads the configuration from the store itself.

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

/// Time within which every process has to adopt a published configuration.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(5);
const CONFIG: &[u8] = br#"{"author": "mika", "publish": 1, "replaced": [], "services": []}"#;

async fn publish(objects: &Objects, expect: Expect) -> Result<u64> {
    match objects.put(KEY, CONFIG, expect).await? {
        Written::Conflict => bail!("conflict: another version was written first"),
        Written::Done(version) => Ok(version),
    }
}

/// A side that has just started has no peers that could notify it of a new version, so it must watch
/// the store itself.
#[test]
fn a_process_without_peers_watches_the_store() -> Result<()> {
    task::block_on(async {
        let store = Store::start()?;
        let objects = Objects::new(store.address());
        let first = publish(&objects, Expect::Absent).await?;
        let process = Arc::new(Process::new(store.address()));
        let watcher = process.clone();
        task::spawn(async move { watch(&*watcher).await });
        until("the first version", ADOPTION_TIMEOUT, async || {
            Ok(process.adopted() == [first])
        })
        .await?;
        // Lets the process start its next watch.
        task::sleep(Duration::from_millis(500)).await;
        let second = publish(&objects, Expect::Version(first)).await?;
        until("the second version", ADOPTION_TIMEOUT, async || {
            Ok(process.adopted() == [first, second])
        })
        .await?;
        Ok(())
    })
}
