//! Exchange of engines' load reports between entries. An entry gets few responses of one engine; all entries together
//! get several a second.

use crate::backend::Backend;
use crate::peers;
use crate::router::Router;
use almondwell_schema::{Datagram, EngineLoad, EngineLoads};
use async_std::task;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds, in which queues at engines change little.
const PERIOD: Duration = Duration::from_millis(250);
/// Age from which a report is not passed on: it would expire before the next entry could use it much.
const MAX_AGE: Duration = Duration::from_millis(1500);
/// Time from one entry to another, between regions, rounded up.
const HOP_TIME: Duration = Duration::from_millis(15);
/// Most reports in one datagram of 1,400 bytes; each takes up to 14.
const MAX_LOADS: usize = 90;

/// Sends recent reports to a few other entries in each round, forever.
pub(crate) async fn exchange(router: Arc<Router>) {
    loop {
        task::sleep(PERIOD).await;
        let mut loads = recent(&router);
        if loads.is_empty() {
            continue;
        }
        // In larger fleets each datagram names a random part of the engines, so that its size is bounded.
        loads.shuffle(&mut rand::rng());
        loads.truncate(MAX_LOADS);
        let datagram: Datagram = EngineLoads { loads }.into();
        let targets = peers::lock_peers(&router)
            .gossip_targets(router.now(), |below| rand::rng().random_range(0..below));
        for address in targets {
            peers::send(&router, &datagram, address).await;
        }
    }
}

/// Merges reports that another entry passed on.
pub(crate) fn merge(router: &Router, received: &EngineLoads) {
    if !router.settings.exchange_loads {
        return;
    }
    let now = router.now();
    let received: BTreeMap<_, _> = received
        .loads
        .iter()
        .map(|load| (load.engine, load))
        .collect();
    for backend in engines(router) {
        if let Some(load) = received.get(&backend.key) {
            let at = now.saturating_sub(Duration::from_millis(load.age_ms.into()));
            if backend.merge_load(at, load.running, load.waiting) {
                router.metrics.loads_merged.inc();
            }
        }
    }
}

fn recent(router: &Router) -> Vec<EngineLoad> {
    let now = router.now();
    let loads = engines(router).into_iter().filter_map(|backend| {
        let (load, age) = backend.load(now)?;
        (age < MAX_AGE).then(|| EngineLoad {
            engine: backend.key,
            // Older by what the way to the next entry takes at most, so that a report never becomes younger.
            age_ms: u32::try_from((age + HOP_TIME).as_millis()).unwrap_or(u32::MAX),
            running: load.running,
            waiting: load.waiting,
        })
    });
    loads.collect()
}

fn engines(router: &Router) -> Vec<Arc<Backend>> {
    let Some(table) = router.table() else {
        return Vec::new();
    };
    let is_engine = |service: &str| {
        let service = table.services.get(service);
        service.is_some_and(|service| service.is_engine)
    };
    let ready = router.ready();
    let services = ready.iter().filter(|(service, _)| is_engine(service));
    services
        .flat_map(|(_, backends)| backends.iter().cloned())
        .collect()
}
