//! Late binding: reserves places at a few sides and runs at the first that grants.

use crate::answer::Answer;
use crate::call;
use crate::entry::Entry;
use crate::job::Job;
use crate::once;
use crate::refusal::Refusal;
use crate::vacancy;
use crate::waiters::Waiter;
use almondwell_core::sample;
use almondwell_schema::{Datagram, Instance, Reserve, Ticket, Verdict, Withdraw};
use async_std::future::timeout;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a word from any asked side after which others are asked.
const SILENCE: Duration = Duration::from_millis(100);
/// Time after which sides that queued a reservation are asked again: one may have died since, and
/// one that lives keeps the reservation's rank.
const REPEAT: Duration = Duration::from_millis(500);
const ATTEMPTS: usize = 3;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves `job`; drops of the future withdraw it.
pub(crate) async fn dispatch(entry: &Entry, job: &Job) -> Result<Answer, Refusal> {
    if once::applies(job) {
        return once::run(entry, job).await;
    }
    let mut last = Refusal::busy("no upstream granted a place in time", RETRY_AFTER);
    for _ in 0..ATTEMPTS {
        let (side, ticket) = reserve(entry, job).await?;
        let wait = entry.clock.now().saturating_sub(job.arrived);
        entry.metrics.granted(job, wait);
        match call::run(entry, job, side, ticket).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => {
                let may_repeat = refusal.verdict == Verdict::NotRun || job.class.idempotent;
                if !may_repeat {
                    return Err(refusal);
                }
                last = refusal;
            }
        }
    }
    Err(last)
}

async fn reserve(entry: &Entry, job: &Job) -> Result<(SocketAddr, Ticket), Refusal> {
    let waiter = entry.waiters.open(job.request);
    let mut asked = Asked {
        entry,
        queued: BTreeSet::new(),
        request: job.request,
        sides: Vec::new(),
    };
    loop {
        let left = job.deadline.saturating_sub(entry.clock.now());
        if left.is_zero() {
            let message = "the deadline passed while the request waited for a place";
            return Err(Refusal::busy(message, RETRY_AFTER));
        }
        vacancy::wait(entry, &job.service.pool, left).await?;
        let sides = entry.members.sides();
        let pool = sides.pool(&job.service.pool);
        ask(entry, job, pool, &mut asked, left).await;
        if let Some((side, ticket)) = wait(&waiter, left, &mut asked).await {
            asked.sides.retain(|asked| *asked != side);
            return Ok((side, ticket));
        }
    }
}

async fn ask(entry: &Entry, job: &Job, pool: &[Instance], asked: &mut Asked<'_>, left: Duration) {
    let count: usize = entry.settings.samples.into();
    let queued = std::mem::take(&mut asked.queued);
    let (mut chosen, others): (Vec<_>, Vec<_>) = pool
        .iter()
        .partition(|instance| queued.contains(&instance.address));
    let missing = count.saturating_sub(chosen.len());
    let sampled = sample(&mut rand::rng(), others.len(), missing);
    chosen.extend(sampled.into_iter().map(|index| others[index]));
    for instance in chosen {
        let address = instance.address;
        let reserve = reservation(entry, job, left);
        entry.members.asked(address, entry.clock.now());
        entry.send(reserve.into(), address).await;
        if !asked.sides.contains(&address) {
            asked.sides.push(address);
        }
    }
}

/// The reservation of a place for `job`.
pub(crate) fn reservation(entry: &Entry, job: &Job, left: Duration) -> Reserve {
    let waited = entry.clock.now().saturating_sub(job.arrived);
    Reserve {
        request: job.request,
        service: job.service.name.clone(),
        class: job.class_name.clone(),
        workspace: job.workspace_name.clone(),
        tier: job.class.tier,
        priority: job.class.priority,
        share: job.workspace.share,
        left,
        target: job.class.first_token.saturating_sub(waited),
        prefix: job.prefix,
        fingerprint: job.fingerprint,
    }
}

/// Waits for a grant; `None` when other sides should be asked.
async fn wait(
    waiter: &Waiter<'_>,
    left: Duration,
    asked: &mut Asked<'_>,
) -> Option<(SocketAddr, Ticket)> {
    let mut limit = SILENCE.min(left);
    let mut refused = 0;
    loop {
        let (datagram, from) = timeout(limit, waiter.inbox.recv()).await.ok()?.ok()?;
        match datagram {
            Datagram::Grant(grant) => return Some((from, grant.ticket)),
            Datagram::Queued(_) => {
                asked.queued.insert(from);
                limit = REPEAT.min(left);
            }
            Datagram::Refuse(_) => {
                refused += 1;
                if refused >= asked.sides.len() {
                    async_std::task::sleep(SILENCE.min(left)).await;
                    return None;
                }
            }
            Datagram::Alive(_)
            | Datagram::Leaving(_)
            | Datagram::Noted(_)
            | Datagram::Probe(_)
            | Datagram::Reserve(_)
            | Datagram::Suspect(_)
            | Datagram::Withdraw(_) => {}
        }
    }
}

/// Sides that hold a reservation; they are told when it is given up.
struct Asked<'a> {
    entry: &'a Entry,
    /// Sides at which the reservation waits.
    queued: BTreeSet<SocketAddr>,
    request: u128,
    sides: Vec<SocketAddr>,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        for side in &self.sides {
            let withdraw = Withdraw {
                request: self.request,
            };
            self.entry.send_now(&withdraw.into(), *side);
        }
    }
}
