//! Costs as the installation grows, without load: sides, entries and workspaces.

use crate::series::Series;
use crate::usage::Usage;
use almondwell_configuration::KEY;
use almondwell_platform::Objects;
use almondwell_schema::{Instance, Role};
use async_std::task;
use eyre::Result;
use fakes::set::{Set, Settings};
use std::fmt::Write;
use std::time::Duration;

const IDLE_TIME: Duration = Duration::from_secs(6);
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Costs of an entry by the number of sides in the instance list; all but one are only registered
/// and do not run.
pub(crate) async fn by_sides() -> Result<Vec<Series>> {
    let varied = "sides listed";
    let mut busy = Series::new("entry_busy_by_sides", "core share", varied);
    let mut memory = Series::new("entry_memory_by_sides", "bytes", varied);
    let set = start_one_side().await?;
    let mut listed: u16 = 1;
    for count in [1, 300, 600, 1200, 2400] {
        while listed < count {
            set.register(&unstarted_side(listed)).await?;
            listed += 1;
        }
        task::sleep(SETTLE_TIME).await;
        let before = Usage::of(set.entries[0].process.id())?;
        task::sleep(IDLE_TIME).await;
        let after = Usage::of(set.entries[0].process.id())?;
        busy.points
            .push((f64::from(count), after.share_since(&before)));
        memory.points.push((f64::from(count), after.memory as f64));
    }
    Ok(vec![busy, memory])
}

/// Registration of a side that does not run.
fn unstarted_side(number: u16) -> Instance {
    Instance {
        id: format!("side-idle-{number}").into(),
        role: Role::Side,
        pool: format!("pool-{}", number % 7).into(),
        address: ([127, 0, 0, 2], 40_000 + number).into(),
        zone: format!("zone-{}", number % 11).into(),
        region: format!("region-{}", number % 5).into(),
        leaving: false,
    }
}

/// Store reads and watches by the number of entries.
pub(crate) async fn by_entries() -> Result<Vec<Series>> {
    let mut reads = Series::new("platform_reads_by_entries", "reads/s", "entries");
    let mut watches = Series::new("platform_watches_by_entries", "watches/s", "entries");
    let mut set = Set::start(Settings {
        entries: 1,
        engines: 1,
        order_services: 0,
        ..Settings::default()
    })
    .await?;
    for entries in [1_u32, 2, 4, 8] {
        while set.entries.len() < entries as usize {
            set.add_entry().await?;
        }
        task::sleep(SETTLE_TIME).await;
        let before = set.read(set.platform, "/counts").await?;
        task::sleep(IDLE_TIME).await;
        let after = set.read(set.platform, "/counts").await?;
        let rate = |name: &str| {
            let increase =
                after[name].as_f64().unwrap_or(0.0) - before[name].as_f64().unwrap_or(0.0);
            increase / IDLE_TIME.as_secs_f64()
        };
        reads.points.push((f64::from(entries), rate("reads")));
        watches.points.push((f64::from(entries), rate("watches")));
    }
    Ok(vec![reads, watches])
}

/// Size of the configuration and memory of an entry by the number of workspaces.
pub(crate) async fn by_workspaces() -> Result<Vec<Series>> {
    let varied = "workspaces";
    let mut bytes = Series::new("configuration_bytes", "bytes", varied);
    let mut memory = Series::new("entry_memory_by_workspaces", "bytes", varied);
    for count in [2_u32, 215, 430, 860] {
        let mut service = fakes::set::DRAFTING.to_string();
        for number in 0..count {
            let _ = write!(
                service,
                "\n[workspace extra-{number}]\nkey = key-of-workspace-{number}\n"
            );
        }
        let set = Set::start(Settings {
            entries: 1,
            engines: 1,
            order_services: 0,
            services: vec![service],
            ..Settings::default()
        })
        .await?;
        let object = Objects::new(set.platform).get(KEY).await?;
        let size = object.map_or(0, |object| object.value.len());
        bytes.points.push((f64::from(count), size as f64));
        let usage = Usage::of(set.entries[0].process.id())?;
        memory.points.push((f64::from(count), usage.memory as f64));
    }
    Ok(vec![bytes, memory])
}

/// Starts one entry and one side whose engine runs one request at a time.
pub(crate) async fn start_one_side() -> Result<Set> {
    Set::start(Settings {
        batch: 1,
        engines: 1,
        entries: 1,
        order_services: 0,
        ..Settings::default()
    })
    .await
}
