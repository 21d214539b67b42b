//! Fencing tokens, by which an upstream rejects calls from a side that a newer one has replaced.

use crate::side::Side;
use almondwell_platform::{Error, Expect, Objects, Written};
use almondwell_schema::{Epoch, Version};
use async_std::task;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Header that carries the token; an upstream that checks it rejects a lower one than it has seen.
pub(crate) const HEADER: &str = "Almondwell-Order";
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The token claimed by this incarnation of the side.
#[derive(Debug, Default)]
pub(crate) struct Token {
    /// Version of the stored object that names this incarnation as the last to claim; 0 until then.
    value: AtomicU64,
}

impl Token {
    /// The token, or `None` until it is claimed.
    pub(crate) fn value(&self) -> Option<Version> {
        Some(self.value.load(Ordering::Acquire)).filter(|value| *value > 0)
    }
}

/// Claims a token for this incarnation of `side`, higher than any claimed before for its upstream.
///
/// Retries until the claim succeeds; does nothing if the upstream does not check tokens.
pub(crate) async fn claim(side: &Side) {
    if !side.settings.fenced {
        return;
    }
    let key = format!("orders/{}", side.settings.upstream);
    loop {
        match try_claim(&side.objects, &key, side.epoch).await {
            Ok(Some(token)) => {
                side.fencing_token.value.store(token, Ordering::Release);
                spdlog::info!("fencing token claimed", kv: { number = token });
                return;
            }
            Ok(None) => {}
            Err(_) => task::sleep(rand::random_range(MIN_RETRY_DELAY..MAX_RETRY_DELAY)).await,
        }
    }
}

/// Writes `epoch` to the object at `key` and returns the object's new version, which is the token;
/// `None` if another write came first.
///
/// If the answer to a write was lost, the next try finds the stored `epoch` and returns its version.
async fn try_claim(objects: &Objects, key: &str, epoch: Epoch) -> Result<Option<Version>, Error> {
    let value = epoch.to_string();
    let expect = match objects.get(key).await? {
        Some(object) if object.value == value.as_bytes() => return Ok(Some(object.version)),
        Some(object) => Expect::Version(object.version),
        None => Expect::Absent,
    };
    match objects.put(key, value.as_bytes(), expect).await? {
        Written::Conflict => Ok(None),
        Written::Done(version) => Ok(Some(version)),
    }
}
