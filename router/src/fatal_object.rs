//! The object in the store that holds the parts of prompts which crash upstreams, for entries that no other entry
//! reaches and for those that start anew.

use crate::crash;
use crate::router::Router;
use almondwell_platform::{Error, Expect, Written};
use almondwell_schema::{Suspect, Suspects};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Store key of the object.
const KEY: &str = "quarantine/parts";
/// Time between two exchanges: crashes come in series, and calls to the store cost money.
const PERIOD: Duration = Duration::from_secs(1);
/// Delay after another entry has changed the object in between.
const CONFLICT_DELAY: Duration = Duration::from_millis(50);

/// Requests for an exchange with the object.
pub(crate) struct Requests {
    /// Whether the object lacks something that this entry knows.
    is_dirty: AtomicBool,
    /// Holds one element while an exchange is due.
    due: (Sender<()>, Receiver<()>),
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            is_dirty: AtomicBool::new(false),
            due: bounded(1),
        }
    }
}

impl Requests {
    /// Asks for what other entries wrote.
    pub(crate) fn read(&self) {
        // If the channel is full, an exchange is due already.
        let _ = self.due.0.try_send(());
    }

    /// Asks for a write of what this entry knows.
    pub(crate) fn write(&self) {
        self.is_dirty.store(true, Ordering::Release);
        self.read();
    }
}

/// Reads the object at the start, and then reads or writes it whenever that is requested, forever.
pub(crate) async fn replicate(router: Arc<Router>) {
    loop {
        while let Err(error) = exchange(&router).await {
            spdlog::debug!("exchanging quarantined parts with the store failed", kv: {
                error = error.to_string()
            });
            task::sleep(PERIOD).await;
        }
        task::sleep(PERIOD).await;
        // The sender lives as long as the receiver.
        let _ = router.fatal_requests.due.1.recv().await;
    }
}

/// Merges the object into what this entry knows, and writes the result if there is anything to write.
///
/// Merging is commutative and idempotent, so a write whose response was lost can be repeated.
async fn exchange(router: &Router) -> Result<(), Error> {
    loop {
        let object = router.objects.get(KEY).await?;
        let document = object
            .as_ref()
            .and_then(|object| serde_json::from_slice(&object.value).ok());
        if let Some(document) = document {
            merge(router, document);
        }
        if !router.fatal_requests.is_dirty.load(Ordering::Acquire) {
            return Ok(());
        }
        let expect = object.map_or(Expect::Absent, |object| Expect::Version(object.version));
        let document = Suspects {
            written: unix_time(),
            suspects: crash::lock_fatal_parts(router).fatal(router.now()),
        };
        let value = serde_json::to_vec(&document).unwrap_or_default();
        match router.objects.put(KEY, &value, expect).await? {
            Written::Conflict => task::sleep(CONFLICT_DELAY).await,
            Written::Done(_) => {
                router
                    .fatal_requests
                    .is_dirty
                    .store(false, Ordering::Release);
                return Ok(());
            }
        }
    }
}

fn merge(router: &Router, document: Suspects) {
    let age = unix_time().saturating_sub(document.written);
    for suspect in document.suspects {
        let suspect = Suspect {
            left: suspect.left.saturating_sub(age),
            ..suspect
        };
        // This entry has cleared the part since the object was written.
        if crash::merge_part(router, &suspect).is_some() {
            router.fatal_requests.write();
        }
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
