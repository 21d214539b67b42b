//! Startup and shutdown of a router process.

use crate::addresses::Addresses;
use crate::connection::limit_receive_buffers;
use crate::router::Router;
use crate::{
    caller, cause_objects, duties, endpoints, fetches, loads, peers, reports, stream_objects,
    usage, version_objects, watch,
};
use almondwell_core::upstream::Upstream;
use almondwell_daemon::{
    descriptor_limit, keep, open_descriptors, peak_memory_kib, signals, until_bound_or_stopped,
    wait_for_stop,
};
use almondwell_platform::decode::Configuration;
use almondwell_schema::RouterSettings;
use almondwell_wire::{MAX_FRAME_BYTES, limit_frame_memory};
use async_std::task::{self, JoinHandle};
use eyre::Result;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Time after which the load balancer has noticed that an entry is unready: two failed checks, at one check per
/// second, and one more second for a check that was already running.
const UNREADY_PERIOD: Duration = Duration::from_secs(3);
/// Reserve within the grace time for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time in which the requests that are still running are answered before the process exits.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time in which the origins of the last streams are stored; other entries mostly know them too.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Interval between checks whether the running requests of a draining process have finished.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Runs a router until it receives a stop signal, then shuts it down gracefully. Nothing else starts before it is bound:
/// an outgoing connection of its own could take a port that it waits for.
///
/// # Errors
///
/// Fails when an address can never be bound or registering signal handlers fails.
pub async fn serve(settings: RouterSettings) -> Result<()> {
    let signals = signals()?;
    let bound = until_bound_or_stopped(&signals, || Addresses::bind(&settings)).await?;
    let Some(Addresses {
        callers,
        peers,
        ready,
        socket,
    }) = bound
    else {
        spdlog::info!("router stopped", kv: { id = settings.id.as_ref(), active = 0 });
        return Ok(());
    };
    if settings.memory > 0 {
        limit_frame_memory(frame_memory(settings.memory));
        limit_receive_buffers();
    }
    let router = Arc::new(Router::new(settings, socket));
    spdlog::info!("router started", kv: {
        id = router.settings.id.as_ref(), version = env!("CARGO_PKG_VERSION"),
        zone = router.settings.zone.as_ref(), callers = router.settings.callers.to_string(),
        store = router.settings.store.to_string(), memory = router.settings.memory,
        descriptors = router.settings.descriptors, connections = router.clients.limit(),
        descriptor_limit = descriptor_limit()
    });
    spawn(&router, "configuration", watch::watch::<Configuration>);
    spawn(&router, "upstreams", watch::watch::<Upstream>);
    spawn(&router, "eras of the store", watch::follow_eras);
    let peers = Arc::new(peers);
    spawn(&router, "fetches of others", move |router| {
        fetches::serve(router, peers.clone())
    });
    spawn(&router, "fetches", fetches::run);
    spawn(&router, "datagrams", peers::receive);
    spawn(&router, "gossip", peers::gossip);
    if router.settings.exchange_loads {
        spawn(&router, "loads", loads::exchange);
    }
    spawn(&router, "causes", cause_objects::follow);
    spawn(&router, "writes of causes", cause_objects::write);
    spawn(&router, "versions", version_objects::keep);
    spawn(&router, "writes of streams", stream_objects::write);
    if duties::is_enabled(&router.settings) {
        spawn(&router, "duties", duties::keep);
        spawn(&router, "reports", reports::send);
    }
    if router.usage.is_counting() {
        spawn(&router, "usage", usage::exchange);
        spawn(&router, "look-ups of usage", usage::look_up);
        spawn(&router, "writes of usage", usage::write);
    }
    spawn(&router, "removals", watch::expire);
    task::spawn(endpoints::ready(router.clone(), ready));
    task::spawn(endpoints::admin(router.clone()));
    let callers = Arc::new(callers);
    let accept = spawn(&router, "callers", move |router| {
        caller::accept(router, callers.clone())
    });
    wait_for_stop(&signals).await;
    shut_down(&router, accept).await;
    Ok(())
}

/// Runs `task` as long as the process.
fn spawn<F>(
    router: &Arc<Router>,
    name: &'static str,
    task: impl Fn(Arc<Router>) -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let router = router.clone();
    task::spawn(keep(name, move || task(router.clone())))
}

/// Bytes that unfinished frames of other entries may take on a machine with `memory` MB: an eighth, 14 MB on the smallest machine,
/// and at least two of the longest frames. Anyone who reaches the control address can send them.
fn frame_memory(memory: u32) -> usize {
    let share = memory as usize * 1_000_000 / 8;
    share.max(2 * MAX_FRAME_BYTES)
}

/// Reports unready, waits until the load balancer has noticed, then stops accepting connections and waits for
/// running requests within the grace time. Those that remain are answered before its end.
async fn shut_down(router: &Arc<Router>, accept: JoinHandle<()>) {
    let limit = router.settings.grace.saturating_sub(EXIT_MARGIN);
    let answer_limit = limit.saturating_sub(ANSWER_MARGIN);
    let start = router.now();
    spdlog::info!("router is draining", kv: {
        id = router.settings.id.as_ref(), active = router.drain.active()
    });
    router.drain.start(start + answer_limit);
    let release = task::spawn({
        let router = router.clone();
        async move { duties::stop(&router, limit).await }
    });
    task::sleep(UNREADY_PERIOD.min(answer_limit)).await;
    accept.cancel().await;
    router.drain.close_idle();
    wait_until_idle(router, start + answer_limit).await;
    router.drain.finish();
    wait_until_idle(router, start + limit).await;
    usage::finish(router).await;
    stream_objects::flush(router, FLUSH_TIME).await;
    release.await;
    spdlog::info!("router stopped", kv: {
        id = router.settings.id.as_ref(), active = router.drain.active(),
        descriptors = open_descriptors(), peak_kib = peak_memory_kib()
    });
}

/// Waits until no request is running, up to `end`.
async fn wait_until_idle(router: &Router, end: Duration) {
    while router.drain.active() > 0 && router.now() < end {
        task::sleep(DRAIN_POLL_PERIOD).await;
    }
}
