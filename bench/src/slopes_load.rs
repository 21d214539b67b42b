//! Costs as load grows: requests, bookings, reservations and waiting reservations.

use crate::load::{self, Call};
use crate::series::Series;
use crate::slopes_size::start_one_side;
use crate::snapshot::{DATAGRAMS, Snapshot};
use crate::usage::Usage;
use almondwell_schema::Reserve;
use almondwell_wire::{Seal, Socket};
use async_std::task;
use eyre::{Result, ensure};
use fakes::process::free_address;
use fakes::set::{SECRET, Set, Settings};
use std::sync::Arc;
use std::time::Duration;

const LOAD_TIME: Duration = Duration::from_secs(6);
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Costs of an entry and a side by the rate of chat completions.
pub(crate) async fn by_requests() -> Result<Vec<Series>> {
    let varied = "requests/s";
    let mut entry_busy = Series::new("entry_busy_by_requests", "core share", varied);
    let mut entry_bytes = Series::new("entry_control_by_requests", "control bytes/s", varied);
    let mut entry_datagrams = Series::new("entry_datagrams_by_requests", "datagrams/s", varied);
    let mut side_busy = Series::new("side_busy_by_requests", "core share", varied);
    let set = Arc::new(
        Set::start(Settings {
            engines: 4,
            entries: 1,
            order_services: 0,
            batch: 64,
            ..Settings::default()
        })
        .await?,
    );
    load::send(&set, Call::Chat(8), 50, SETTLE_TIME).await?;
    for rate in [25, 50, 100, 200, 400] {
        let (entry, side) = (
            Snapshot::entry(&set, 0).await?,
            Snapshot::side(&set, 0).await?,
        );
        let outcome = load::send(&set, Call::Chat(8), rate, LOAD_TIME).await?;
        ensure!(
            outcome.answered == outcome.sent,
            "expected an answer with status 200 to each call at {rate} requests/s, got {outcome:?}"
        );
        let (entry_after, side_after) = (
            Snapshot::entry(&set, 0).await?,
            Snapshot::side(&set, 0).await?,
        );
        let (rate, seconds) = (f64::from(rate), LOAD_TIME.as_secs_f64());
        entry_busy
            .points
            .push((rate, entry_after.usage.share_since(&entry.usage)));
        entry_bytes
            .points
            .push((rate, entry_after.control_bytes(&entry) / seconds));
        entry_datagrams
            .points
            .push((rate, entry_after.increase(&entry, &DATAGRAMS) / seconds));
        // Each of the four sides gets a quarter of the requests.
        side_busy
            .points
            .push((rate / 4.0, side_after.usage.share_since(&side.usage)));
    }
    Ok(vec![entry_busy, entry_bytes, entry_datagrams, side_busy])
}

/// Store writes by the rate of calls that may run at most once, each with a unique idempotency key.
pub(crate) async fn by_bookings() -> Result<Vec<Series>> {
    let mut writes = Series::new("platform_writes_by_bookings", "writes/s", "bookings/s");
    let set = Arc::new(Set::start(Settings::default()).await?);
    for rate in [10, 20, 40, 80] {
        let before = set.read(set.platform, "/counts").await?;
        let outcome = load::send(&set, Call::Order, rate, LOAD_TIME).await?;
        ensure!(
            outcome.answered == outcome.sent,
            "expected an answer with status 200 to each call at {rate} bookings/s, got {outcome:?}"
        );
        let after = set.read(set.platform, "/counts").await?;
        let increase =
            after["writes"].as_f64().unwrap_or(0.0) - before["writes"].as_f64().unwrap_or(0.0);
        writes
            .points
            .push((f64::from(rate), increase / LOAD_TIME.as_secs_f64()));
    }
    Ok(vec![writes])
}

/// CPU time of a side by the rate of datagrams, from reservations that are withdrawn without a call.
pub(crate) async fn by_reservations() -> Result<Vec<Series>> {
    let mut busy = Series::new("side_busy_by_datagrams", "core share", "datagrams/s");
    let set = start_one_side().await?;
    let socket = Socket::bind(free_address()?, Seal::new(SECRET)).await?;
    let side = set.upstreams[0].control;
    for rate in [25_u32, 50, 100, 200, 400] {
        let before = Snapshot::side(&set, 0).await?;
        for number in 0..rate * 4 {
            let request = u128::from(number) + (u128::from(rate) << 64);
            socket.send(&reserve(request).into(), side).await?;
            let _ = async_std::future::timeout(Duration::from_millis(50), socket.receive()).await;
            let withdraw = almondwell_schema::Withdraw { request };
            socket.send(&withdraw.into(), side).await?;
            task::sleep(Duration::from_micros(1_000_000 / u64::from(rate)).mul_f64(0.8)).await;
        }
        let after = Snapshot::side(&set, 0).await?;
        let share = after.usage.share_since(&before.usage);
        // Time between the snapshots: the CPU time divided by its share of a core.
        let seconds = after
            .usage
            .cpu_time
            .saturating_sub(before.usage.cpu_time)
            .as_secs_f64()
            / share;
        busy.points
            .push((after.increase(&before, &DATAGRAMS) / seconds, share));
    }
    Ok(vec![busy])
}

/// Memory of a side by the number of reservations that wait for a slot of its full upstream.
pub(crate) async fn by_waiting() -> Result<Vec<Series>> {
    let mut memory = Series::new("side_memory_by_waiting", "bytes", "waiting reservations");
    let set = start_one_side().await?;
    let socket = Socket::bind(free_address()?, Seal::new(SECRET)).await?;
    let side = set.upstreams[0].control;
    let mut waiting = 0;
    for count in [0_u32, 1000, 2000, 3000, 4000] {
        while waiting < count {
            socket
                .send(&reserve(u128::from(waiting)).into(), side)
                .await?;
            waiting += 1;
            if waiting % 50 == 0 {
                task::sleep(Duration::from_millis(2)).await;
            }
        }
        task::sleep(Duration::from_millis(100)).await;
        let usage = Usage::of(set.upstreams[0].side.id())?;
        memory.points.push((f64::from(count), usage.memory as f64));
    }
    Ok(vec![memory])
}

fn reserve(request: u128) -> Reserve {
    Reserve {
        request,
        service: "drafting".into(),
        class: "summary".into(),
        workspace: "retail".into(),
        tier: 1,
        priority: 0,
        share: 1,
        copies: 3,
        left: Duration::from_mins(10),
        target: Duration::from_secs(2),
        prefix: 1,
        fingerprint: 2,
    }
}
