//! Calls that arrive over one connection.

use crate::ledger;
use crate::side::Side;
use crate::upstream;
use almondwell_configuration as configuration;
use almondwell_daemon::disconnected;
use almondwell_schema::{Fault, Frame, Reason, Run, Verdict};
use almondwell_wire::{Connection, Error};
use async_std::future::timeout;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// Time within which a frame has to arrive completely once it has begun.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Keep-alive: time without a frame after which a connection is closed; longer than entries keep
/// idle connections open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Serves calls one after another until the connection closes or fails.
pub(crate) async fn serve(side: &Arc<Side>, mut connection: Connection) {
    loop {
        match connection.read_within(IDLE_TIMEOUT, FRAME_TIMEOUT).await {
            Ok(Some(Frame::Run(run))) => {
                if handle_run(side, &mut connection, run).await.is_err() {
                    return;
                }
            }
            Ok(Some(Frame::Fetch(fetch))) => {
                let response = configuration::answer(&**side, &fetch);
                if connection.write(&response).await.is_err() {
                    return;
                }
            }
            Ok(Some(
                Frame::Chunk(_)
                | Frame::End(_)
                | Frame::Fault(_)
                | Frame::Head(_)
                | Frame::Ask(_)
                | Frame::Held(_)
                | Frame::Snapshot(_),
            ))
            | Err(Error::Forged | Error::Malformed(_) | Error::TooLong(_)) => {
                side.metrics.frames_rejected.inc();
                return;
            }
            Ok(None) | Err(Error::Io(_)) => return,
        }
    }
}

async fn handle_run(side: &Arc<Side>, connection: &mut Connection, run: Run) -> Result<(), Error> {
    let ticket = run.ticket;
    let started = side.queue().start(side.clock.now(), ticket, run.request);
    if let Err(reason) = started {
        side.metrics.calls_refused.inc();
        return connection.write(&not_run(reason).into()).await;
    }
    let slot = Slot {
        side: side.clone(),
        ticket,
    };
    if ledger::applies(&run) {
        return ledger::call(side, connection, run, slot).await;
    }
    let tcp = connection.tcp().clone();
    let remaining = run.left;
    let call = async {
        match timeout(remaining, upstream::call(side, connection, &run)).await {
            Ok(result) => result,
            Err(_) => connection.write(&deadline_exceeded().into()).await,
        }
    };
    let cancelled = async {
        disconnected(&tcp).await;
        side.metrics.calls_cancelled.inc();
        Err(Error::Io(std::io::ErrorKind::ConnectionReset.into()))
    };
    let result = call.or(cancelled).await;
    drop(slot);
    side.grant_free_slots().await;
    result
}

/// A slot held by a call. Freed on drop, so also when the task of the call is dropped.
pub(crate) struct Slot {
    side: Arc<Side>,
    ticket: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.side.clock.now();
        self.side.queue().finish(now, self.ticket);
    }
}

pub(crate) fn not_run(reason: Reason) -> Fault {
    Fault {
        verdict: Verdict::NotRun,
        reason,
        retry: Duration::ZERO,
        detail: "".into(),
        crashes: Vec::new(),
    }
}

pub(crate) fn deadline_exceeded() -> Fault {
    Fault {
        verdict: Verdict::MayHaveRun,
        reason: Reason::Late,
        retry: Duration::ZERO,
        detail: "deadline passed while the upstream was running the request".into(),
        crashes: Vec::new(),
    }
}
