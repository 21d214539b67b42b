//! Slopes of each role's costs, and the capacity page that follows from them.

use crate::capacity::Capacity;
use crate::counters::{self, Counters, sum};
use crate::load::{self, Call};
use crate::series::Series;
use crate::target::{self, Target};
use crate::usage::Usage;
use almondwell_schema::{Instance, Reserve, Role};
use almondwell_wire::{Seal, Socket};
use async_std::task;
use eyre::{Result, ensure};
use fakes::process::free_address;
use fakes::set::{SECRET, Set, Settings};
use lexopt::prelude::{Long, Short, Value, ValueExt};
use serde_json::{Map, json};
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

const LOAD_TIME: Duration = Duration::from_secs(6);
const IDLE_TIME: Duration = Duration::from_secs(6);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const DATAGRAM_BYTES: [&str; 2] = ["datagram_bytes_received", "datagram_bytes_sent"];
const DATAGRAMS: [&str; 2] = ["datagrams_received", "datagrams_sent"];
/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADERS: f64 = 28.0;
/// The loads are the same at each run; nothing is drawn.
const SEED: u64 = 0;

/// What is varied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Against {
    Bookings,
    Entries,
    Requests,
    Reservations,
    Sides,
    Waiting,
    Workspaces,
}

impl Against {
    const ALL: [Self; 7] = [
        Self::Bookings,
        Self::Entries,
        Self::Requests,
        Self::Reservations,
        Self::Sides,
        Self::Waiting,
        Self::Workspaces,
    ];

    const fn label(self) -> &'static str {
        match self {
            Self::Bookings => "bookings",
            Self::Entries => "entries",
            Self::Requests => "requests",
            Self::Reservations => "reservations",
            Self::Sides => "sides",
            Self::Waiting => "waiting",
            Self::Workspaces => "workspaces",
        }
    }

    async fn measure(self) -> Result<Vec<Series>> {
        match self {
            Self::Bookings => by_bookings().await,
            Self::Entries => by_entries().await,
            Self::Requests => by_requests().await,
            Self::Reservations => by_reservations().await,
            Self::Sides => by_sides().await,
            Self::Waiting => by_waiting().await,
            Self::Workspaces => by_workspaces().await,
        }
    }
}

/// Measures all slopes; `--only QUANTITY` prints some alone and `--page FILE` writes the capacity page.
pub(crate) fn run(parser: &mut lexopt::Parser) -> Result<()> {
    let mut only = None;
    let mut page = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("only") => only = Some(parser.value()?.string()?),
            Long("page") => page = Some(PathBuf::from(parser.value()?.string()?)),
            Long(_) | Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    let series = task::block_on(measure(only.as_deref()))?;
    for series in &series {
        println!("{}", series.line());
    }
    if only.is_some() {
        return Ok(());
    }
    let capacity = Capacity::from(&series);
    println!("{}", capacity.table());
    if let Some(page) = page {
        std::fs::write(page, capacity.page(&series))?;
    }
    let result: Map<_, _> = series
        .iter()
        .map(|series| (series.name.to_string(), series.json()))
        .collect();
    target::finish("slopes", SEED, &json!(result), &targets(&capacity, &series))
}

fn targets(capacity: &Capacity, series: &[Series]) -> Vec<Target> {
    const LEAST_POINTS: f64 = 4.0;
    let fewest = series.iter().map(|series| series.points.len()).min();
    let fewest = fewest.unwrap_or(0) as f64;
    let mut targets = capacity.targets();
    targets.push(Target::above("points-of-each-slope", fewest, LEAST_POINTS));
    targets
}

/// Measures all slopes, or those against one quantity alone.
async fn measure(only: Option<&str>) -> Result<Vec<Series>> {
    let mut all = Vec::new();
    for against in Against::ALL {
        if only.is_none_or(|only| only == against.label()) {
            all.extend(against.measure().await?);
        }
    }
    let names = Against::ALL.map(Against::label).join(", ");
    ensure!(!all.is_empty(), "--only: expected one of {names}");
    Ok(all)
}

/// Usage and counters of a process at one moment.
struct Probe {
    counters: Counters,
    usage: Usage,
}

impl Probe {
    async fn entry(set: &Set, index: usize) -> Result<Self> {
        let entry = &set.entries[index];
        Ok(Self {
            counters: counters::read(entry.admin).await?,
            usage: Usage::of(entry.process.id())?,
        })
    }

    async fn side(set: &Set, index: usize) -> Result<Self> {
        let upstream = &set.upstreams[index];
        Ok(Self {
            counters: counters::read(upstream.admin).await?,
            usage: Usage::of(upstream.side.id())?,
        })
    }

    /// Growth of the counters `names` since `earlier`.
    fn growth(&self, earlier: &Self, names: &[&str]) -> f64 {
        sum(&self.counters, names) - sum(&earlier.counters, names)
    }

    fn control_bytes(&self, earlier: &Self) -> f64 {
        self.growth(earlier, &DATAGRAM_BYTES) + DATAGRAM_HEADERS * self.growth(earlier, &DATAGRAMS)
    }
}

async fn by_requests() -> Result<Vec<Series>> {
    let against = "requests/s";
    let mut entry_busy = Series::new("entry_busy_by_requests", "core share", against);
    let mut entry_bytes = Series::new("entry_control_by_requests", "control bytes/s", against);
    let mut entry_datagrams = Series::new("entry_datagrams_by_requests", "datagrams/s", against);
    let mut side_busy = Series::new("side_busy_by_requests", "core share", against);
    let set = Arc::new(
        Set::start(Settings {
            engines: 4,
            entries: 1,
            plains: 0,
            batch: 64,
            ..Settings::default()
        })
        .await?,
    );
    load::send(&set, Call::Chat(8), 50, SETTLE_TIME).await?;
    for rate in [25, 50, 100, 200, 400] {
        let (entry, side) = (Probe::entry(&set, 0).await?, Probe::side(&set, 0).await?);
        let outcome = load::send(&set, Call::Chat(8), rate, LOAD_TIME).await?;
        ensure!(
            outcome.answered == outcome.sent,
            "{outcome:?} at {rate} requests/s"
        );
        let (entry_now, side_now) = (Probe::entry(&set, 0).await?, Probe::side(&set, 0).await?);
        let (rate, seconds) = (f64::from(rate), LOAD_TIME.as_secs_f64());
        entry_busy
            .points
            .push((rate, entry_now.usage.share_since(&entry.usage)));
        entry_bytes
            .points
            .push((rate, entry_now.control_bytes(&entry) / seconds));
        entry_datagrams
            .points
            .push((rate, entry_now.growth(&entry, &DATAGRAMS) / seconds));
        side_busy
            .points
            .push((rate / 4.0, side_now.usage.share_since(&side.usage)));
    }
    Ok(vec![entry_busy, entry_bytes, entry_datagrams, side_busy])
}

/// Reservations and withdrawals alone, without a call.
async fn by_reservations() -> Result<Vec<Series>> {
    let mut busy = Series::new("side_busy_by_datagrams", "core share", "datagrams/s");
    let set = one_side().await?;
    let socket = Socket::bind(free_address()?, Seal::new(SECRET)).await?;
    let side = set.upstreams[0].control;
    for rate in [25_u32, 50, 100, 200, 400] {
        let before = Probe::side(&set, 0).await?;
        for number in 0..rate * 4 {
            let request = u128::from(number) + (u128::from(rate) << 64);
            socket.send(&reserve(request).into(), side).await?;
            let _ = async_std::future::timeout(Duration::from_millis(50), socket.receive()).await;
            let withdraw = almondwell_schema::Withdraw { request };
            socket.send(&withdraw.into(), side).await?;
            task::sleep(Duration::from_micros(1_000_000 / u64::from(rate)).mul_f64(0.8)).await;
        }
        let now = Probe::side(&set, 0).await?;
        let share = now.usage.share_since(&before.usage);
        let seconds = now
            .usage
            .busy
            .saturating_sub(before.usage.busy)
            .as_secs_f64()
            / share;
        busy.points
            .push((now.growth(&before, &DATAGRAMS) / seconds, share));
    }
    Ok(vec![busy])
}

/// Reservations that wait before a full upstream.
async fn by_waiting() -> Result<Vec<Series>> {
    let mut memory = Series::new("side_memory_by_waiting", "bytes", "waiting reservations");
    let set = one_side().await?;
    let socket = Socket::bind(free_address()?, Seal::new(SECRET)).await?;
    let side = set.upstreams[0].control;
    let mut waiting = 0;
    for goal in [0_u32, 1000, 2000, 3000, 4000] {
        while waiting < goal {
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
        memory.points.push((f64::from(goal), usage.memory as f64));
    }
    Ok(vec![memory])
}

async fn one_side() -> Result<Set> {
    Set::start(Settings {
        batch: 1,
        engines: 1,
        entries: 1,
        plains: 0,
        ..Settings::default()
    })
    .await
}

/// Sides that the instance list shows; they need not answer.
async fn by_sides() -> Result<Vec<Series>> {
    let against = "sides listed";
    let mut busy = Series::new("entry_busy_by_sides", "core share", against);
    let mut memory = Series::new("entry_memory_by_sides", "bytes", against);
    let set = one_side().await?;
    let mut listed: u16 = 1;
    for goal in [1, 300, 600, 1200, 2400] {
        while listed < goal {
            set.register(&idle_side(listed)).await?;
            listed += 1;
        }
        task::sleep(SETTLE_TIME).await;
        let before = Usage::of(set.entries[0].process.id())?;
        task::sleep(IDLE_TIME).await;
        let now = Usage::of(set.entries[0].process.id())?;
        busy.points
            .push((f64::from(goal), now.share_since(&before)));
        memory.points.push((f64::from(goal), now.memory as f64));
    }
    Ok(vec![busy, memory])
}

fn idle_side(number: u16) -> Instance {
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

async fn by_entries() -> Result<Vec<Series>> {
    let mut reads = Series::new("platform_reads_by_entries", "reads/s", "entries");
    let mut watches = Series::new("platform_watches_by_entries", "watches/s", "entries");
    let mut set = Set::start(Settings {
        entries: 1,
        engines: 1,
        plains: 0,
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
        let now = set.read(set.platform, "/counts").await?;
        let rate = |name: &str| {
            let growth = now[name].as_f64().unwrap_or(0.0) - before[name].as_f64().unwrap_or(0.0);
            growth / IDLE_TIME.as_secs_f64()
        };
        reads.points.push((f64::from(entries), rate("reads")));
        watches.points.push((f64::from(entries), rate("watches")));
    }
    Ok(vec![reads, watches])
}

async fn by_workspaces() -> Result<Vec<Series>> {
    let against = "workspaces";
    let mut bytes = Series::new("configuration_bytes", "bytes", against);
    let mut memory = Series::new("entry_memory_by_workspaces", "bytes", against);
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
            plains: 0,
            services: vec![service],
            ..Settings::default()
        })
        .await?;
        let answer = fakes::http::call(
            set.platform,
            fakes::http::request(
                http_types::Method::Get,
                set.platform,
                "/objects/config/current",
                &[],
                "",
            ),
            IDLE_TIME,
        )
        .await?;
        bytes
            .points
            .push((f64::from(count), answer.body.len() as f64));
        let usage = Usage::of(set.entries[0].process.id())?;
        memory.points.push((f64::from(count), usage.memory as f64));
    }
    Ok(vec![bytes, memory])
}

/// Calls that may run at most once, each under a key of its own.
async fn by_bookings() -> Result<Vec<Series>> {
    let mut writes = Series::new("platform_writes_by_bookings", "writes/s", "bookings/s");
    let set = Arc::new(Set::start(Settings::default()).await?);
    for rate in [10, 20, 40, 80] {
        let before = set.read(set.platform, "/counts").await?;
        let outcome = load::send(&set, Call::Order, rate, LOAD_TIME).await?;
        ensure!(
            outcome.answered == outcome.sent,
            "{outcome:?} at {rate} bookings/s"
        );
        let now = set.read(set.platform, "/counts").await?;
        let growth =
            now["writes"].as_f64().unwrap_or(0.0) - before["writes"].as_f64().unwrap_or(0.0);
        writes
            .points
            .push((f64::from(rate), growth / LOAD_TIME.as_secs_f64()));
    }
    Ok(vec![writes])
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
        left: Duration::from_mins(10),
        target: Duration::from_secs(2),
        prefix: 1,
        fingerprint: 2,
    }
}
