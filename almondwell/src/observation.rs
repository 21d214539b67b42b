//! Watches one request until its answer is whole.

use crate::entry::Entry;
use crate::job::Job;
use crate::metrics::{Labels, Metrics, Trace};
use crate::outcome::Outcome;
use crate::refusal::Refusal;
use crate::{burn::Burn, metrics};
use almondwell_daemon::Clock;
use almondwell_schema::{Kind, Verdict};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

const SERVER_ERRORS: u16 = 500;
const TOO_MANY_REQUESTS: u16 = 429;
/// What ends an event of a stream; an event carries a token.
const EVENT_END: [u8; 2] = *b"\n\n";

/// Counts one request exactly once, however it ends; a drop means that the caller left.
pub(crate) struct Observation {
    burn: Arc<Burn>,
    clock: Clock,
    events: u32,
    first: Option<Duration>,
    is_counted: bool,
    job: Arc<Job>,
    last: u8,
    metrics: Arc<Metrics>,
}

impl Observation {
    pub(crate) fn new(entry: &Entry, job: Arc<Job>) -> Self {
        Self {
            burn: entry.burn.clone(),
            clock: entry.clock,
            events: 0,
            first: None,
            is_counted: false,
            job,
            last: 0,
            metrics: entry.metrics.clone(),
        }
    }

    /// An upstream's answer was received whole.
    pub(crate) fn whole(&mut self, status: u16, body: &[u8]) {
        if self.job.service.kind == Kind::Engine {
            self.events = tokens(body);
            let rest = self.job.class.between_tokens * self.events.saturating_sub(1);
            // The first token is not seen; the target for the others is taken off the total.
            self.first = Some(self.elapsed().saturating_sub(rest));
        }
        self.answered(status);
    }

    /// An upstream's answer is whole.
    pub(crate) fn answered(&mut self, status: u16) {
        if status >= SERVER_ERRORS || status == TOO_MANY_REQUESTS {
            return self.end(Outcome::Failed, Verdict::Ran);
        }
        let total = self.elapsed();
        let first = *self.first.get_or_insert(total);
        let is_late = first > self.job.class.first_token || self.is_slow(total);
        let outcome = if is_late {
            Outcome::Late
        } else {
            Outcome::Good
        };
        self.end(outcome, Verdict::Ran);
    }

    /// The answer broke off on its way to the caller.
    pub(crate) fn broken(&mut self) {
        self.end(Outcome::Failed, Verdict::MayHaveRun);
    }

    /// The caller is told that the request failed.
    pub(crate) fn refused(&mut self, refusal: &Refusal) {
        let outcome = match refusal.verdict {
            Verdict::NotRun => Outcome::Refused,
            Verdict::MayHaveRun | Verdict::Ran => Outcome::Failed,
        };
        self.end(outcome, refusal.verdict);
    }

    /// A piece of a streamed answer goes to the caller.
    pub(crate) fn piece(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if [self.last, *byte] == EVENT_END {
                self.events += 1;
            }
            self.last = *byte;
        }
        if self.first.is_none() && !bytes.is_empty() {
            self.first = Some(self.elapsed());
        }
    }

    /// Whether the mean time between tokens missed its target.
    fn is_slow(&self, total: Duration) -> bool {
        let Some(first) = self.first else {
            return false;
        };
        let gaps = self.events.saturating_sub(1);
        total.saturating_sub(first) > self.job.class.between_tokens * gaps && gaps > 0
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_sub(self.job.arrived)
    }

    fn end(&mut self, outcome: Outcome, verdict: Verdict) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        let total = self.elapsed();
        let job = &self.job;
        if let Some(is_good) = outcome.is_good() {
            self.burn.record(job, self.clock.now(), is_good);
        }
        let labels = Labels {
            class: job.class_name.to_string(),
            outcome: outcome.label(),
            service: job.service.name.to_string(),
            tier: job.class.tier,
            verdict: verdict.label(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        let series = metrics::series(job);
        let trace = || Trace::new(job.request);
        if let Some(first) = self.first {
            let histogram = self.metrics.first_token.get_or_create(&series);
            histogram.observe(first.as_secs_f64(), Some(trace()), None);
        }
        let histogram = self.metrics.total.get_or_create(&series);
        histogram.observe(total.as_secs_f64(), Some(trace()), None);
    }
}

/// Tokens that an engine says it made.
fn tokens(body: &[u8]) -> u32 {
    #[derive(Default, Deserialize)]
    struct Completion {
        #[serde(default)]
        usage: Usage,
    }
    #[derive(Default, Deserialize)]
    struct Usage {
        #[serde(default)]
        completion_tokens: u32,
    }
    serde_json::from_slice::<Completion>(body)
        .unwrap_or_default()
        .usage
        .completion_tokens
}

impl Drop for Observation {
    fn drop(&mut self) {
        let is_late = self.first.is_none() && self.elapsed() > self.job.class.first_token;
        let outcome = if is_late {
            Outcome::LeftLate
        } else {
            Outcome::Left
        };
        self.end(outcome, Verdict::MayHaveRun);
    }
}
