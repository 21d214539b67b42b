//! Fencing numbers of the orders that a side gives its upstream.

use crate::side::Side;
use almondwell_platform::{Error, Expect, Objects, Written};
use almondwell_schema::{Epoch, Version};
use async_std::task;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Header that carries the number; an upstream that checks it refuses a lower one than it has seen.
pub(crate) const HEADER: &str = "Almondwell-Order";
const RETRY_LEAST: Duration = Duration::from_millis(200);
const RETRY_MOST: Duration = Duration::from_millis(800);

/// The number that this run of the side has claimed.
#[derive(Debug, Default)]
pub(crate) struct Order {
    /// Version of the object that names the side as the last to claim; 0 before the claim.
    number: AtomicU64,
}

impl Order {
    /// The number, once it is claimed.
    pub(crate) fn number(&self) -> Option<Version> {
        Some(self.number.load(Ordering::Acquire)).filter(|number| *number > 0)
    }
}

/// Claims a number for this run of `side`, higher than that of any before it.
pub(crate) async fn claim(side: &Side) {
    if !side.settings.fenced {
        return;
    }
    let key = format!("orders/{}", side.settings.upstream);
    loop {
        match try_claim(&side.objects, &key, side.epoch).await {
            Ok(Some(number)) => {
                side.order.number.store(number, Ordering::Release);
                spdlog::info!("side may give orders", kv: { number = number });
                return;
            }
            Ok(None) => {}
            Err(_) => task::sleep(rand::random_range(RETRY_LEAST..RETRY_MOST)).await,
        }
    }
}

/// Writes this run into the object; its new version is the number. `None` when another came first.
///
/// A claim whose answer was lost is found by its run on the next try.
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
