//! Handles datagrams from entries, such as reservations and probes.

use crate::liveness;
use crate::side::Side;
use almondwell_core::{Answer, Reservation};
use almondwell_schema::{Datagram, Queued, Reason, Refuse, Reserve};
use almondwell_wire::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Delay after which an entry may retry a reservation refused because the upstream is down.
const UPSTREAM_DOWN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay after which an entry may retry a reservation that was shed for a higher-ranked one.
const SHED_RETRY_DELAY: Duration = Duration::from_secs(1);
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Receives and handles datagrams until the process ends.
pub(crate) async fn receive(side: &Arc<Side>) {
    loop {
        match side.socket.receive().await {
            Ok((datagram, from)) => handle(side, datagram, from).await,
            Err(Error::Io(_)) => {
                side.metrics.datagrams_failed.inc();
            }
            Err(Error::Forged | Error::Malformed(_) | Error::TooLong(_)) => {
                side.metrics.datagrams_rejected.inc();
            }
        }
    }
}

/// Periodically grants slots whose earlier grant expired unused, until the process ends.
pub(crate) async fn expire(side: &Side) {
    loop {
        async_std::task::sleep(EXPIRY_INTERVAL).await;
        side.grant_free_slots().await;
    }
}

async fn handle(side: &Arc<Side>, datagram: Datagram, from: SocketAddr) {
    side.entries.record_datagram(from, side.clock.now());
    match datagram {
        Datagram::Alive(alive) => liveness::handle_alive(side, &alive, from),
        Datagram::Noted(noted) => side
            .entries
            .record_acknowledgement(from, noted.epoch == side.epoch),
        Datagram::Probe(probe) => liveness::handle_probe(side, &probe, from).await,
        Datagram::Reserve(reserve) => reserve_slot(side, reserve, from).await,
        Datagram::Withdraw(withdraw) => {
            side.queue().withdraw(withdraw.request);
            side.grant_free_slots().await;
        }
        Datagram::Suspect(suspect) => side.suspects.merge(side.clock.now(), &suspect),
        Datagram::Digest(_)
        | Datagram::Grant(_)
        | Datagram::Leaving(_)
        | Datagram::Queued(_)
        | Datagram::Refuse(_)
        | Datagram::EngineLoads(_)
        | Datagram::StreamMessage(_)
        | Datagram::SuspectPart(_)
        | Datagram::Usage(_)
        | Datagram::UsageAck(_) => {
            side.metrics.datagrams_rejected.inc();
        }
    }
}

async fn reserve_slot(side: &Side, reserve: Reserve, from: SocketAddr) {
    let request = reserve.request;
    if !side.health.is_up() {
        return refuse(
            side,
            request,
            Reason::Stalled,
            UPSTREAM_DOWN_RETRY_DELAY,
            from,
        )
        .await;
    }
    let reservation = reservation(reserve, from);
    let answer = side.queue().reserve(side.clock.now(), reservation);
    let shed = side.queue().take_shed();
    for reservation in shed {
        let retry = SHED_RETRY_DELAY;
        refuse(
            side,
            reservation.request,
            Reason::Full,
            retry,
            reservation.from,
        )
        .await;
    }
    let is_granted = side.grant_free_slots_checking(request).await;
    match answer {
        Answer::Offered(offer) => side.send_grant(offer).await,
        Answer::Queued(_) if is_granted => {}
        Answer::Queued(wait) => send_queued(side, request, wait, from).await,
        Answer::Refused(reason, retry) => refuse(side, request, reason, retry, from).await,
    }
}

fn reservation(reserve: Reserve, from: SocketAddr) -> Reservation<SocketAddr> {
    Reservation {
        class: format!("{}/{}", reserve.service, reserve.class).into(),
        copies: reserve.copies,
        from,
        left: reserve.left,
        priority: reserve.priority,
        request: reserve.request,
        share: reserve.share,
        target: reserve.target,
        tier: reserve.tier,
        workspace: reserve.workspace,
    }
}

async fn send_queued(side: &Side, request: u128, wait: Duration, from: SocketAddr) {
    let queued = Queued {
        request,
        wait,
        epoch: side.epoch,
    };
    side.send(queued.into(), from).await;
}

/// Informs the entry at `from` that `request` was refused and may be retried after `retry`.
pub(crate) async fn refuse(
    side: &Side,
    request: u128,
    reason: Reason,
    retry: Duration,
    from: SocketAddr,
) {
    let refuse = Refuse {
        request,
        reason,
        retry,
        epoch: side.epoch,
    };
    side.send(refuse.into(), from).await;
}
