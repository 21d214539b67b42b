//! Objects in the store that hold the requests and parts of prompts which crash upstreams, for entries that no other
//! entry reaches and for those that start anew.

use crate::crash;
use crate::peers;
use crate::router::Router;
use almondwell_core::causes::Cause;
use almondwell_platform::store::Cursor;
use almondwell_platform::{Error, Expect, Written};
use almondwell_schema::{Suspect, Suspects};
use async_std::task;
use rand::Rng;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Folder of the objects in the store.
const FOLDER: &str = "quarantine";
/// Time limit of a watch while other entries are heard, which report causes too.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two writes, and after a failed call: crashes come in series, and calls to the store cost money.
const PERIOD: Duration = Duration::from_secs(1);
/// Delay after another entry has changed the object in between.
const CONFLICT_DELAY: Duration = Duration::from_millis(50);

/// One of the objects.
#[derive(Clone, Copy)]
enum Object {
    Parts,
    Requests,
}

impl Object {
    const ALL: [Self; 2] = [Self::Parts, Self::Requests];

    const fn name(self) -> &'static str {
        match self {
            Self::Parts => "parts",
            Self::Requests => "requests",
        }
    }

    const fn cause(self, id: u64) -> Cause {
        match self {
            Self::Parts => Cause::Part(id),
            Self::Requests => Cause::Request(id),
        }
    }
}

/// Reads the objects at the start and whenever they change, forever.
pub(crate) async fn follow(router: Arc<Router>) {
    let mut cursor = Cursor::START;
    loop {
        let timeout = if peers::is_isolated(&router) {
            router.settings.contact
        } else {
            WATCH_TIMEOUT
        };
        let changed = router.objects.watch_folder(FOLDER, &mut cursor, timeout);
        match changed.await {
            Ok(changed) => {
                for object in Object::ALL {
                    if let Some(changed) = changed.get(object.name()) {
                        merge(&router, object, parse(&changed.value));
                    }
                }
            }
            Err(error) => {
                spdlog::debug!("watching quarantined causes failed", kv: {
                    error = error.to_string()
                });
                // With jitter, so that entries do not call at the same moment.
                let delay = PERIOD.mul_f64(rand::rng().random_range(0.5..1.0));
                task::sleep(delay).await;
            }
        }
    }
}

/// Writes the objects whenever that is requested, forever.
pub(crate) async fn write(router: Arc<Router>) {
    loop {
        router.cause_writes.wait().await;
        for object in Object::ALL {
            while let Err(error) = update(&router, object).await {
                spdlog::debug!("writing quarantined causes failed", kv: {
                    error = error.to_string()
                });
                task::sleep(PERIOD).await;
            }
        }
        task::sleep(PERIOD).await;
    }
}

/// Merges the object into what this entry knows, and writes the fatal causes unless it holds the same ones.
///
/// Merging is commutative and idempotent, so a write whose response was lost can be repeated.
async fn update(router: &Router, object: Object) -> Result<(), Error> {
    let key = format!("{FOLDER}/{}", object.name());
    loop {
        let stored = router.objects.get(&key).await?;
        let document = stored.as_ref().and_then(|stored| parse(&stored.value));
        let suspects = document.iter().flat_map(|document| &document.suspects);
        let held: BTreeSet<_> = suspects
            .map(|suspect| object.cause(suspect.fingerprint))
            .collect();
        merge(router, object, document);
        let Some(document) = newer(router, object, &held) else {
            return Ok(());
        };
        let expect = stored.map_or(Expect::Absent, |stored| Expect::Version(stored.version));
        let value = serde_json::to_vec(&document).unwrap_or_default();
        match router.objects.put(&key, &value, expect).await? {
            Written::Conflict => task::sleep(CONFLICT_DELAY).await,
            Written::Done(_) => return Ok(()),
        }
    }
}

/// The fatal causes, unless they are those that the object holds.
fn newer(router: &Router, object: Object, held: &BTreeSet<Cause>) -> Option<Suspects> {
    let (now, causes) = (router.now(), crash::lock_causes(router));
    let mut fatal = causes.fatal(now);
    fatal.retain(|cause| *cause == object.cause(cause.id()));
    let suspects = fatal.iter().filter_map(|cause| causes.suspect(now, *cause));
    (fatal != *held).then(|| Suspects {
        written: unix_time(),
        suspects: suspects.collect(),
    })
}

fn parse(value: &[u8]) -> Option<Suspects> {
    serde_json::from_slice(value).ok()
}

fn merge(router: &Router, object: Object, document: Option<Suspects>) {
    let Some(document) = document else {
        return;
    };
    let age = unix_time().saturating_sub(document.written);
    for suspect in document.suspects {
        let suspect = Suspect {
            left: suspect.left.saturating_sub(age),
            ..suspect
        };
        let cause = object.cause(suspect.fingerprint);
        // This entry has cleared the cause since the object was written.
        if crash::merge(router, cause, &suspect).reply.is_some() {
            router.cause_writes.request();
        }
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
