//! At-most-once calls: sends a non-idempotent call with an idempotency key to the side that holds
//! the key in the ledger.
//!
//! Sides are ranked for each ledger shard by rendezvous hashing; if the first does not answer, the
//! next takes over the shard. The ledger prevents all of them from running a key twice, so a call
//! with an unknown outcome is sent again under its key to learn the outcome.

use crate::answer::Answer;
use crate::availability;
use crate::call;
use crate::entry::Entry;
use crate::job::Job;
use crate::refusal::{INTERRUPTED, LEDGER_FULL, Refusal, SLOT_EXPIRED, STORE_DOWN};
use crate::reserve::reservation;
use crate::sides::Member;
use almondwell_core::hash;
use almondwell_core::ledger::{call_key, shard_of};
use almondwell_schema::{Datagram, Ticket, Verdict, Withdraw};
use async_std::future::timeout;
use async_std::task;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// How long to wait for a side's reply before asking the next in rank.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a queued reservation is sent again.
const REPEAT_PERIOD: Duration = Duration::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(50);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether `job` must run at the side that holds its key.
pub(crate) fn applies(job: &Job) -> bool {
    !job.class.idempotent && job.key.is_some()
}

/// Runs `job` at most once. Dropping the future withdraws an open reservation.
///
/// Fails once the ledger's answer is final or the deadline passes; the refusal has the most severe
/// verdict of all attempts.
pub(crate) async fn run(entry: &Entry, job: &Job) -> Result<Answer, Refusal> {
    let mut last = Refusal::busy("no upstream granted a place in time", RETRY_AFTER);
    let mut verdict = Verdict::NotRun;
    let mut rank = 0;
    while let Some(remaining) = remaining(entry, job) {
        if let Err(refusal) = availability::wait(entry, &job.service.pool, remaining).await {
            return Err(refusal.after(verdict));
        }
        let sides = ranked_sides(entry, job);
        let Some(side) = sides.get(rank % sides.len().max(1)).copied() else {
            continue;
        };
        let refusal = match attempt(entry, job, side).await {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) => {
                rank += 1;
                continue;
            }
            Err(refusal) => refusal,
        };
        if is_final(&refusal) {
            return Err(refusal.after(verdict));
        }
        if refusal.verdict == Verdict::NotRun && refusal.code != SLOT_EXPIRED {
            rank += 1;
        }
        verdict = verdict.max(refusal.verdict);
        last = refusal;
        task::sleep(RETRY_DELAY).await;
    }
    Err(last.after(verdict))
}

fn remaining(entry: &Entry, job: &Job) -> Option<Duration> {
    let remaining = job.deadline.saturating_sub(entry.clock.now());
    (!remaining.is_zero()).then_some(remaining)
}

/// Whether a further attempt could not give another result.
fn is_final(refusal: &Refusal) -> bool {
    refusal.verdict == Verdict::Ran
        || refusal.status.is_client_error()
        || [LEDGER_FULL, INTERRUPTED, STORE_DOWN].contains(&refusal.code)
}

/// Addresses of the pool's sides, the holder of the job's key first and those that do not answer
/// last.
fn ranked_sides(entry: &Entry, job: &Job) -> Vec<SocketAddr> {
    let sides = entry.members.sides();
    let shard = shard(job);
    let mut ranked: Vec<&Member> = sides.all(&job.service.pool).iter().collect();
    ranked.sort_by_key(|side| {
        let weight = weight(&job.service.name, shard, &side.id);
        (side.state, Reverse(weight))
    });
    ranked.iter().map(|side| side.address).collect()
}

fn shard(job: &Job) -> u16 {
    let key = job.key.as_deref().unwrap_or_default();
    shard_of(call_key(&job.service.name, &job.workspace_name, key))
}

fn weight(service: &str, shard: u16, side: &str) -> u64 {
    hash::number(&[service.as_bytes(), &shard.to_le_bytes(), side.as_bytes()])
}

/// Reserves a slot at `side` and runs `job` there; `None` if the side grants no slot.
async fn attempt(entry: &Entry, job: &Job, side: SocketAddr) -> Result<Option<Answer>, Refusal> {
    let Some(ticket) = reserve(entry, job, side).await else {
        return Ok(None);
    };
    let wait = entry.clock.now().saturating_sub(job.arrived);
    entry.metrics.observe_grant_wait(job, wait);
    call::run(entry, job, side, ticket).await.map(Some)
}

async fn reserve(entry: &Entry, job: &Job, side: SocketAddr) -> Option<Ticket> {
    let waiter = entry.waiters.open(job.request);
    let mut pending = Reservation {
        entry,
        is_open: true,
        job,
        side,
    };
    // With these values the first wait times out at once, and the reservation is sent.
    let mut is_queued = true;
    let mut limit = Duration::ZERO;
    loop {
        let Ok(message) = timeout(limit, waiter.inbox.recv()).await else {
            if !is_queued {
                return None;
            }
            // A repeated reservation keeps its queue position; a side that has died does not answer
            // it.
            let remaining = self::remaining(entry, job)?;
            entry.members.record_request(side, entry.clock.now());
            entry.send(reservation(entry, job, 1).into(), side).await;
            is_queued = false;
            limit = REPLY_TIMEOUT.min(remaining);
            continue;
        };
        let (datagram, from) = message.ok()?;
        if from != side {
            continue;
        }
        match datagram {
            Datagram::Grant(grant) => {
                pending.is_open = false;
                return Some(grant.ticket);
            }
            Datagram::Queued(_) => {
                is_queued = true;
                limit = REPEAT_PERIOD;
            }
            Datagram::Refuse(_) => {
                task::sleep(RETRY_DELAY).await;
                return None;
            }
            Datagram::Alive(_)
            | Datagram::Leaving(_)
            | Datagram::Noted(_)
            | Datagram::Probe(_)
            | Datagram::Reserve(_)
            | Datagram::Digest(_)
            | Datagram::Suspect(_)
            | Datagram::EngineLoads(_)
            | Datagram::StreamMessage(_)
            | Datagram::SuspectPart(_)
            | Datagram::Usage(_)
            | Datagram::UsageAck(_)
            | Datagram::Withdraw(_) => {}
        }
    }
}

/// A reservation that is withdrawn on drop unless it was granted.
struct Reservation<'a> {
    entry: &'a Entry,
    is_open: bool,
    job: &'a Job,
    side: SocketAddr,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let request = self.job.request;
        self.entry.try_send(&Withdraw { request }.into(), self.side);
    }
}
