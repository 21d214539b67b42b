//! Late binding: reserves slots at a few sides and takes the first one granted.

use crate::availability;
use crate::entry::Entry;
use crate::job::Job;
use crate::refusal::Refusal;
use crate::waiters::Waiter;
use almondwell_core::{Binding, Directory, Step};
use almondwell_schema::{Datagram, Reason, Refuse, Reserve, Ticket, Withdraw};
use async_std::future::timeout;
use std::net::SocketAddr;
use std::time::Duration;

/// How long to wait for a reply from any of the sides asked before asking others.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which queued reservations are sent again, since a side may have died in the
/// meantime. A live side keeps the queue position of a repeated reservation.
const REPEAT_PERIOD: Duration = Duration::from_millis(500);
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Estimated bytes on the wire of a request and its answer, in addition to the request's body.
const OVERHEAD_BYTES: usize = 4 << 10;

/// Waits until a side grants a slot; returns the side and the grant's ticket.
///
/// The other reservations are withdrawn, and all of them if the future is dropped. Fails if the
/// deadline passes, no side is known or every side is overloaded.
pub(crate) async fn reserve(entry: &Entry, job: &Job) -> Result<(SocketAddr, Ticket), Refusal> {
    let waiter = entry.waiters.open(job.request);
    let mut search = Search::new(entry, job);
    search.start().await?;
    loop {
        let remaining = search.remaining()?;
        let limit = search.limit.min(remaining);
        let step = match timeout(limit, waiter.inbox.recv()).await {
            Ok(Ok((datagram, from))) => search.handle(datagram, from),
            Ok(Err(_)) | Err(_) => search.handle_timeout()?,
        };
        if let Some(grant) = search.apply(step, &waiter).await? {
            search.log_late();
            return Ok(grant);
        }
    }
}

/// The reservations of one request. Dropping it withdraws them, except the granted one.
struct Search<'a> {
    binding: Binding<SocketAddr>,
    entry: &'a Entry,
    /// Whether all refusals so far were for lack of capacity or time.
    is_overloaded: bool,
    job: &'a Job,
    /// How long to wait for the next datagram.
    limit: Duration,
    /// The side whose grant was taken.
    granted: Option<SocketAddr>,
    /// Sides asked so far, in all rounds.
    asked: Vec<SocketAddr>,
    replies: Replies,
    start: Duration,
}

/// Numbers of replies to reservations.
#[derive(Clone, Copy, Debug, Default)]
struct Replies {
    queued: u32,
    refused: u32,
    /// Waits that ended without a reply.
    timeouts: u32,
}

impl<'a> Search<'a> {
    fn new(entry: &'a Entry, job: &'a Job) -> Self {
        let samples = usize::from(entry.settings.samples).max(1);
        let bytes = u32::try_from(job.body.len() + OVERHEAD_BYTES).unwrap_or(u32::MAX);
        Self {
            binding: Binding::new(samples, job.prefix, bytes),
            entry,
            is_overloaded: true,
            job,
            limit: REPLY_TIMEOUT,
            granted: None,
            asked: Vec::new(),
            replies: Replies::default(),
            start: entry.clock.now(),
        }
    }

    async fn start(&mut self) -> Result<(), Refusal> {
        availability::wait(self.entry, &self.job.service.pool, self.remaining()?).await?;
        let directory = self.directory()?;
        let sides = self.binding.start(&mut rand::rng(), &directory);
        self.ask(&sides).await;
        Ok(())
    }

    fn remaining(&self) -> Result<Duration, Refusal> {
        let remaining = self.job.deadline.saturating_sub(self.entry.clock.now());
        if remaining.is_zero() {
            let message = "the deadline passed while the request waited for a place";
            return Err(Refusal::busy(message, RETRY_AFTER));
        }
        Ok(remaining)
    }

    fn directory(&self) -> Result<std::sync::Arc<Directory<SocketAddr>>, Refusal> {
        let pool = &self.job.service.pool;
        let directory = self.entry.directories.pool(&self.entry.members, pool);
        if directory.is_empty() {
            let message = format!("no upstream of the pool `{pool}` is known");
            return Err(Refusal::busy(message, RETRY_AFTER));
        }
        Ok(directory)
    }

    fn handle(&mut self, datagram: Datagram, from: SocketAddr) -> Step<SocketAddr> {
        match datagram {
            Datagram::Grant(grant) => Step::Run(from, grant.ticket),
            Datagram::Queued(queued) => {
                self.replies.queued += 1;
                self.limit = REPEAT_PERIOD;
                let Ok(directory) = self.directory() else {
                    return Step::Wait;
                };
                let now = self.entry.clock.now();
                let mut link_budget = self.entry.directories.link_budget();
                let mut random = rand::rng();
                self.binding.queued(
                    now,
                    from,
                    queued.wait,
                    &mut random,
                    &directory,
                    &mut link_budget,
                )
            }
            Datagram::Refuse(refuse) => self.refused(&refuse, from),
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
            | Datagram::Withdraw(_) => Step::Wait,
        }
    }

    fn refused(&mut self, refuse: &Refuse, from: SocketAddr) -> Step<SocketAddr> {
        self.replies.refused += 1;
        self.is_overloaded &= matches!(refuse.reason, Reason::Full | Reason::Late);
        let Ok(directory) = self.directory() else {
            return Step::Wait;
        };
        let now = self.entry.clock.now();
        let mut link_budget = self.entry.directories.link_budget();
        let mut random = rand::rng();
        self.binding.refused(
            now,
            from,
            refuse.retry,
            &mut random,
            &directory,
            &mut link_budget,
        )
    }

    /// Repeats the reservations and asks other sides in place of those that did not reply.
    fn handle_timeout(&mut self) -> Result<Step<SocketAddr>, Refusal> {
        self.replies.timeouts += 1;
        let directory = self.directory()?;
        Ok(Step::Ask(self.binding.renew(&mut rand::rng(), &directory)))
    }

    async fn apply(
        &mut self,
        step: Step<SocketAddr>,
        waiter: &Waiter<'_>,
    ) -> Result<Option<(SocketAddr, Ticket)>, Refusal> {
        match step {
            Step::Ask(sides) => self.ask(&sides).await,
            Step::Refuse(retry) if self.is_overloaded => {
                let message = "no upstream can start the request within its target";
                return Err(Refusal::busy(message, retry.max(RETRY_AFTER)));
            }
            // Sides that are leaving or failing are replaced soon, so wait briefly and ask again.
            Step::Refuse(_) => {
                self.is_overloaded = true;
                async_std::task::sleep(REPLY_TIMEOUT.min(self.remaining()?)).await;
                while waiter.inbox.try_recv().is_ok() {}
                let directory = self.directory()?;
                let sides = self.binding.renew(&mut rand::rng(), &directory);
                self.ask(&sides).await;
            }
            Step::Run(side, ticket) => {
                self.granted = Some(side);
                return Ok(Some((side, ticket)));
            }
            Step::Wait => {}
        }
        Ok(None)
    }

    /// Logs a grant that took longer than a reply.
    fn log_late(&self) {
        let wait = self.entry.clock.now().saturating_sub(self.start);
        if wait < REPLY_TIMEOUT {
            return;
        }
        let Replies {
            queued,
            refused,
            timeouts,
        } = self.replies;
        spdlog::info!("slot granted late", kv: {
            request = format!("{:032x}", self.job.request), wait_ms = wait.as_millis(),
            asked = self.asked.len(), queued, refused, timeouts
        });
    }

    async fn ask(&mut self, sides: &[SocketAddr]) {
        let now = self.entry.clock.now();
        let copies = self.binding.copies();
        self.limit = REPLY_TIMEOUT;
        for side in sides {
            let reserve = reservation(self.entry, self.job, copies);
            self.entry.members.record_request(*side, now);
            self.entry.send(reserve.into(), *side).await;
            if !self.asked.contains(side) {
                self.asked.push(*side);
            }
        }
    }
}

/// Builds the reservation of a slot for `job`; `copies` is the number of sides likely to hold one.
pub(crate) fn reservation(entry: &Entry, job: &Job, copies: u8) -> Reserve {
    let now = entry.clock.now();
    let waited = now.saturating_sub(job.arrived);
    Reserve {
        request: job.request,
        service: job.service.name.clone(),
        class: job.class_name.clone(),
        workspace: job.workspace_name.clone(),
        tier: job.class.tier,
        priority: job.class.priority,
        share: job.workspace.share,
        copies,
        left: job.deadline.saturating_sub(now),
        target: job.class.first_token.saturating_sub(waited),
        prefix: job.prefix,
        fingerprint: job.fingerprint,
    }
}

impl Drop for Search<'_> {
    fn drop(&mut self) {
        for side in &self.asked {
            if Some(*side) == self.granted {
                continue;
            }
            let withdraw = Withdraw {
                request: self.job.request,
            };
            self.entry.try_send(&withdraw.into(), *side);
        }
    }
}
