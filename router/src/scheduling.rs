//! Scheduling of generation requests by one entry for each group of a service's engines, so that the requests of
//! all entries are assigned with the knowledge of one another.
//!
//! All entries find the same scheduler by rendezvous hashing over the entries that they know. An assignment is
//! advice: the entry that asked checks it against its own list of upstreams, and without a timely answer it
//! selects an upstream by what it knows itself.

use crate::backend::{Backend, View};
use crate::delivery::{Delivery, History};
use crate::peers;
use crate::router::Router;
use crate::selection::Selection;
use almondwell_core::bands::{Bands, Work};
use almondwell_core::hash;
use almondwell_core::placement;
use almondwell_core::scheduler::{Assignment, Band, Candidate, EngineId, Request, Scheduler};
use almondwell_core::upstream::Upstream;
use almondwell_schema::{Assigned, Datagram, Demand, PromptPart, Released, Started, Ticket};
use async_std::channel::{Sender, bounded};
use async_std::future::timeout;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Most engines in a group: bounds the demands that one entry answers, and the engines that it weighs for each.
const MAX_GROUP_SIZE: usize = 64;
/// Time limit for an assignment: some round trips between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// Unanswered demands in a row after which a scheduler counts as silent.
const SILENT_AFTER: u32 = 2;
/// Time for which a silent scheduler is not asked.
const SILENCE: Duration = Duration::from_secs(5);
/// Most excluded engines in a demand; a demand has to fit into one datagram.
const MAX_EXCLUDED: usize = 32;
/// Expected time for one output token on an engine without other work.
const OUTPUT_TOKEN: Duration = Duration::from_millis(5);

/// Schedulers of this entry's groups, and the demands that it waits for.
#[derive(Default)]
pub(crate) struct Scheduling {
    demands: Mutex<BTreeMap<Ticket, Sender<Assigned>>>,
    services: Mutex<BTreeMap<Box<str>, Service>>,
    /// Unanswered demands in a row, and the time of the last one, by scheduler.
    silent: Mutex<BTreeMap<SocketAddr, (u32, Duration)>>,
}

/// What this entry knows of a service that it schedules.
#[derive(Default)]
struct Service {
    bands: Bands,
    scheduler: Scheduler,
}

/// A request that was assigned to an engine. Reports its end to the scheduler when dropped.
pub(crate) struct Assignee {
    has_failed: AtomicBool,
    router: Arc<Router>,
    scheduler: SocketAddr,
    service: Box<str>,
    ticket: Ticket,
}

impl Assignee {
    /// Reports the first token.
    pub(crate) fn start(&self) {
        let (service, ticket) = (self.service.clone(), self.ticket);
        self.report(Started { ticket, service }.into());
    }

    /// Records that the engine has failed.
    pub(crate) fn fail(&self) {
        self.has_failed.store(true, Ordering::Release);
    }

    fn report(&self, datagram: Datagram) {
        if self.scheduler == self.router.settings.control {
            handle(&self.router, datagram);
        } else {
            // A lost report is made up for by the scheduler's own estimates and the request's deadline.
            self.router.socket.send_now(&datagram, self.scheduler);
        }
    }
}

impl Drop for Assignee {
    fn drop(&mut self) {
        self.report(
            Released {
                ticket: self.ticket,
                service: self.service.clone(),
                failed: self.has_failed.load(Ordering::Acquire),
            }
            .into(),
        );
    }
}

/// Asks the scheduler of the request's group for an upstream; `None` if it does not answer usefully.
pub(crate) async fn select(
    delivery: Delivery<'_>,
    history: &History,
) -> Option<(Selection, Option<Assignee>)> {
    let Delivery {
        admitted,
        request,
        router,
        ..
    } = delivery;
    let entries = peers::lock_peers(router).count(router.now());
    if entries < router.settings.schedule_from as usize {
        return None;
    }
    let ready = router.ready();
    let backends = ready.get(&admitted.service)?;
    let ticket = rand::rng().random();
    let part = request.job.shared().last().map(|part| part.id);
    let demand = demand(delivery, history, backends, ticket);
    let group = group(&demand, backends.len());
    let scheduler = scheduler(router, &admitted.service, group)?;
    let assigned = if scheduler == router.settings.control {
        assign(router, &demand)
    } else {
        ask(router, demand, scheduler).await?
    };
    if assigned.engine == 0 {
        let wait = assigned.wait;
        return (!wait.is_zero()).then_some((Selection::Overloaded(wait), None));
    }
    let reporter = Assignee {
        has_failed: AtomicBool::new(false),
        router: router.clone(),
        scheduler,
        service: admitted.service.clone(),
        ticket,
    };
    // The scheduler may not know yet that the engine leaves.
    let backend = backends.iter().find(|backend| {
        !backend.is_replaced()
            && !history.tried.contains(&backend.upstream.id)
            && engine_id(&backend.upstream) == assigned.engine
    })?;
    let rate = router.services.prefill_rate(&admitted.service);
    let view = View {
        has_parts: assigned.held,
        wait: assigned.wait,
        ..backend.view(router.now(), part, rate)
    };
    Some((Selection::Selected(backend.clone(), view), Some(reporter)))
}

fn demand(
    delivery: Delivery<'_>,
    history: &History,
    backends: &[Arc<Backend>],
    ticket: Ticket,
) -> Demand {
    let Delivery {
        admitted,
        request,
        router,
        ..
    } = delivery;
    let now = router.now();
    let rate = router.services.prefill_rate(&admitted.service);
    let elapsed = request.received_at.elapsed();
    let work = request.job.work();
    let parts = request.job.shared().iter().map(|part| PromptPart {
        id: part.id,
        tokens: part.tokens,
    });
    let excluded = backends
        .iter()
        .filter(|backend| {
            backend.is_replaced()
                || history.tried.contains(&backend.upstream.id)
                || backend.view(now, None, rate).failures >= router.placement.failure_threshold
        })
        .map(|backend| engine_id(&backend.upstream));
    Demand {
        control: router.settings.control,
        ticket,
        service: admitted.service.clone(),
        zone: router.settings.zone.clone(),
        rank: admitted.rank,
        refusable: history.sends == 0,
        gap: admitted.route.gap.unwrap_or(admitted.deadline),
        deadline: admitted.deadline.saturating_sub(elapsed),
        target: admitted.route.target.saturating_sub(elapsed),
        own: work.own,
        parts: parts.collect(),
        output: work.output,
        excluded: excluded.take(MAX_EXCLUDED).collect(),
    }
}

/// Sends a demand to another entry and waits for the assignment.
async fn ask(router: &Arc<Router>, demand: Demand, scheduler: SocketAddr) -> Option<Assigned> {
    let ticket = demand.ticket;
    let (sender, receiver) = bounded(1);
    let mut awaited = Awaited {
        is_answered: false,
        router,
        scheduler,
        service: demand.service.clone(),
        ticket,
    };
    lock(&router.scheduling.demands).insert(ticket, sender);
    if let Err(error) = router.socket.send(&demand.into(), scheduler).await {
        spdlog::debug!("sending datagram failed", kv: {
            to = scheduler.to_string(), error = error.to_string()
        });
        return None;
    }
    let answer = timeout(ANSWER_TIMEOUT, receiver.recv()).await;
    let mut silent = lock(&router.scheduling.silent);
    if let Ok(Ok(assigned)) = answer {
        awaited.is_answered = true;
        silent.remove(&scheduler);
        return Some(assigned);
    }
    let (unanswered, at) = silent.entry(scheduler).or_default();
    *unanswered += 1;
    *at = router.now();
    if *unanswered == SILENT_AFTER {
        spdlog::warn!("scheduler does not answer", kv: { scheduler = scheduler.to_string() });
    }
    router.metrics.unanswered_demands.inc();
    None
}

/// Forgets a demand when dropped, and releases what a late answer would assign.
struct Awaited<'a> {
    is_answered: bool,
    router: &'a Router,
    scheduler: SocketAddr,
    service: Box<str>,
    ticket: Ticket,
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        lock(&self.router.scheduling.demands).remove(&self.ticket);
        if !self.is_answered {
            let released = Released {
                ticket: self.ticket,
                service: self.service.clone(),
                failed: false,
            };
            self.router
                .socket
                .send_now(&released.into(), self.scheduler);
        }
    }
}

/// Handles a datagram about scheduling.
pub(crate) fn handle(router: &Arc<Router>, datagram: Datagram) {
    match datagram {
        Datagram::Demand(demand) => {
            let to = demand.control;
            let assigned = assign(router, &demand);
            // An entry without an answer selects by itself.
            router.socket.send_now(&assigned.into(), to);
        }
        Datagram::Assigned(assigned) => {
            let demand = lock(&router.scheduling.demands).remove(&assigned.ticket);
            if let Some(sender) = demand {
                // The one place of the channel is free, as each demand gets one answer.
                let _ = sender.try_send(assigned);
            }
        }
        Datagram::Started(started) => {
            let now = router.now();
            let mut services = lock(&router.scheduling.services);
            if let Some(service) = services.get_mut(&started.service) {
                service.scheduler.start(now, started.ticket);
            }
        }
        Datagram::Released(released) => {
            let now = router.now();
            let mut services = lock(&router.scheduling.services);
            if let Some(service) = services.get_mut(&released.service) {
                service.scheduler.end(now, released.ticket, released.failed);
            }
        }
        _ => {}
    }
}

/// Assigns a request to an engine of its group.
fn assign(router: &Arc<Router>, demand: &Demand) -> Assigned {
    let ready = router.ready();
    let backends = ready.get(&demand.service).map_or(&[][..], Vec::as_slice);
    let now = router.now();
    let count = groups(backends.len());
    let group = group(demand, backends.len());
    let members: Vec<_> = backends
        .iter()
        .filter(|backend| engine_id(&backend.upstream) % count == group)
        .collect();
    let mut services = lock(&router.scheduling.services);
    if !services.contains_key(&demand.service) {
        services.insert(demand.service.clone(), Service::default());
    }
    let service = services.entry(demand.service.clone()).or_default();
    let work = Work {
        output: demand.output,
        own: demand.own,
        shared: demand.parts.iter().map(|part| part.tokens).sum(),
    };
    service.bands.record(now, demand.gap, work);
    let range = service.bands.engine_range(demand.gap, members.len());
    let candidates: Vec<_> = members
        .into_iter()
        .enumerate()
        .map(|(index, backend)| Candidate {
            band: match index {
                index if index < range.start => Band::Tighter,
                index if index >= range.end => Band::Looser,
                _ => Band::Own,
            },
            distance: router.distance_between(&demand.zone, &backend.upstream.zone),
            id: engine_id(&backend.upstream),
            slots: backend.upstream.slots,
        })
        .filter(|candidate| !demand.excluded.contains(&candidate.id))
        .collect();
    let rate = router.services.prefill_rate(&demand.service);
    let prefill = |tokens: u32| Duration::from_secs_f64(f64::from(tokens) / rate / 1000.0);
    let request = Request {
        deadline: demand.deadline,
        gap: demand.gap,
        is_refusable: demand.refusable,
        output: OUTPUT_TOKEN * demand.output,
        own: prefill(demand.own),
        parts: demand
            .parts
            .iter()
            .map(|part| (part.id, prefill(part.tokens)))
            .collect(),
        rank: demand.rank,
        target: demand.target,
    };
    let assignment = service
        .scheduler
        .assign(now, demand.ticket, &request, &candidates);
    let (engine, held, wait) = match assignment {
        Assignment::Assigned {
            has_parts,
            id,
            wait,
        } => (id, has_parts, wait),
        // A wait of zero means that no engine is known.
        Assignment::Overloaded(wait) => (0, false, wait.max(Duration::from_millis(1))),
        Assignment::None => (0, false, Duration::ZERO),
    };
    Assigned {
        ticket: demand.ticket,
        engine,
        held,
        wait,
    }
}

/// Number of groups of a service with `engines` engines.
fn groups(engines: usize) -> u64 {
    engines.div_ceil(MAX_GROUP_SIZE).max(1) as u64
}

/// The group of engines that a request belongs to: requests with the same prefix share one.
fn group(demand: &Demand, engines: usize) -> u64 {
    let number = demand.parts.last().map_or(demand.ticket, |part| part.id);
    number % groups(engines)
}

/// Identifies one run of an engine in datagrams; never 0.
fn engine_id(upstream: &Upstream) -> EngineId {
    (placement::sort_key(&upstream.id) ^ upstream.started_ms.unwrap_or_default()).max(1)
}

/// Address of the entry that schedules `group` of `service`.
fn scheduler(router: &Router, service: &str, group: u64) -> Option<SocketAddr> {
    let now = router.now();
    let silent = lock(&router.scheduling.silent);
    let is_silent = |address: &SocketAddr| {
        silent.get(address).is_some_and(|(unanswered, at)| {
            *unanswered >= SILENT_AFTER && now.saturating_sub(*at) < SILENCE
        })
    };
    let peers = peers::lock_peers(router);
    peers
        .addresses()
        .chain([router.settings.control])
        .filter(|address| !is_silent(address))
        .max_by_key(|address| {
            let address = address.to_string();
            hash::number(&[service.as_bytes(), &group.to_le_bytes(), address.as_bytes()])
        })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
