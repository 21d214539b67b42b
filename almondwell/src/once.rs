//! Sends a keyed call that may not be repeated to the side that holds its key in the ledger.
//!
//! Sides are ranked for each shard by rendezvous hashing; where the first does not answer, the next
//! takes the shard over. The ledger keeps any of them from running a key twice, so that a call whose
//! fate is unknown is sent again under its key to learn it.

use crate::answer::Answer;
use crate::call;
use crate::entry::Entry;
use crate::job::Job;
use crate::refusal::{EXPIRED, FULL, INTERRUPTED, Refusal, STORE_DOWN};
use crate::reserve::reservation;
use crate::sides::Ranked;
use crate::vacancy;
use almondwell_core::hash;
use almondwell_core::ledger::{call_key, shard_of};
use almondwell_schema::{Datagram, Ticket, Verdict, Withdraw};
use async_std::future::timeout;
use async_std::task;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a word from a side after which the next in rank is asked.
const SILENCE: Duration = Duration::from_millis(250);
/// Time after which a side that queued a reservation is asked again.
const REPEAT: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether `job` must go to the holder of its key.
pub(crate) fn applies(job: &Job) -> bool {
    !job.class.idempotent && job.key.is_some()
}

/// Serves `job` at most once; drops of the future withdraw it.
pub(crate) async fn run(entry: &Entry, job: &Job) -> Result<Answer, Refusal> {
    let mut last = Refusal::busy("no upstream granted a place in time", RETRY_AFTER);
    let mut verdict = Verdict::NotRun;
    let mut rank = 0;
    while let Some(left) = left(entry, job) {
        if let Err(refusal) = vacancy::wait(entry, &job.service.pool, left).await {
            return Err(worse(verdict, refusal));
        }
        let sides = ranked(entry, job);
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
            return Err(worse(verdict, refusal));
        }
        if refusal.verdict == Verdict::NotRun && refusal.code != EXPIRED {
            rank += 1;
        }
        verdict = verdict.max(refusal.verdict);
        last = refusal;
        task::sleep(RETRY_PAUSE).await;
    }
    Err(worse(verdict, last))
}

fn left(entry: &Entry, job: &Job) -> Option<Duration> {
    let left = job.deadline.saturating_sub(entry.clock.now());
    (!left.is_zero()).then_some(left)
}

/// Whether the ledger has said all that it knows.
fn is_final(refusal: &Refusal) -> bool {
    refusal.verdict == Verdict::Ran
        || refusal.status.is_client_error()
        || [FULL, INTERRUPTED, STORE_DOWN].contains(&refusal.code)
}

/// `refusal`, unless an earlier attempt may have run.
fn worse(verdict: Verdict, refusal: Refusal) -> Refusal {
    if refusal.verdict >= verdict {
        return refusal;
    }
    Refusal {
        verdict,
        ..Refusal::broken(verdict, refusal.message)
    }
}

/// Addresses of the pool's sides, the holder of the job's key first and silent ones last.
fn ranked(entry: &Entry, job: &Job) -> Vec<SocketAddr> {
    let sides = entry.members.sides();
    let shard = shard(job);
    let mut ranked: Vec<&Ranked> = sides.all(&job.service.pool).iter().collect();
    ranked.sort_by_key(|side| {
        let weight = weight(&job.service.name, shard, &side.id);
        (side.standing, Reverse(weight))
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

/// Asks `side` for a place and runs `job` there; `None` when it gives none.
async fn attempt(entry: &Entry, job: &Job, side: SocketAddr) -> Result<Option<Answer>, Refusal> {
    let Some(ticket) = reserve(entry, job, side).await else {
        return Ok(None);
    };
    let wait = entry.clock.now().saturating_sub(job.arrived);
    entry.metrics.granted(job, wait);
    call::run(entry, job, side, ticket).await.map(Some)
}

async fn reserve(entry: &Entry, job: &Job, side: SocketAddr) -> Option<Ticket> {
    let waiter = entry.waiters.open(job.request);
    let mut asked = Asked {
        entry,
        is_open: true,
        job,
        side,
    };
    let mut is_queued = true;
    let mut limit = Duration::ZERO;
    loop {
        let Ok(message) = timeout(limit, waiter.inbox.recv()).await else {
            if !is_queued {
                return None;
            }
            // A repeated reservation keeps its rank; a side that has died does not answer it.
            let left = self::left(entry, job)?;
            entry.members.asked(side, entry.clock.now());
            entry.send(reservation(entry, job, 1).into(), side).await;
            is_queued = false;
            limit = SILENCE.min(left);
            continue;
        };
        let (datagram, from) = message.ok()?;
        if from != side {
            continue;
        }
        match datagram {
            Datagram::Grant(grant) => {
                asked.is_open = false;
                return Some(grant.ticket);
            }
            Datagram::Queued(_) => {
                is_queued = true;
                limit = REPEAT;
            }
            Datagram::Refuse(_) => {
                task::sleep(RETRY_PAUSE).await;
                return None;
            }
            Datagram::Alive(_)
            | Datagram::Leaving(_)
            | Datagram::Noted(_)
            | Datagram::Probe(_)
            | Datagram::Reserve(_)
            | Datagram::Digest(_)
            | Datagram::Suspect(_)
            | Datagram::Withdraw(_) => {}
        }
    }
}

/// A reservation that is withdrawn when it is given up.
struct Asked<'a> {
    entry: &'a Entry,
    is_open: bool,
    job: &'a Job,
    side: SocketAddr,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let request = self.job.request;
        self.entry.send_now(&Withdraw { request }.into(), self.side);
    }
}
