//! Measures one request until its answer has been sent completely.

use crate::answer_times::AnswerTimes;
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

const MIN_SERVER_ERROR: u16 = 500;
const TOO_MANY_REQUESTS: u16 = 429;
/// Terminator of a server-sent event; each event carries one token.
const EVENT_END: [u8; 2] = *b"\n\n";

/// Counts one request exactly once, however it ends. Dropping it before an end was recorded means
/// that the caller disconnected.
pub(crate) struct Observation {
    answer_times: Arc<AnswerTimes>,
    burn: Arc<Burn>,
    clock: Clock,
    events: u32,
    /// Time from arrival to the first token.
    first_token: Option<Duration>,
    is_counted: bool,
    job: Arc<Job>,
    last_byte: u8,
    metrics: Arc<Metrics>,
}

impl Observation {
    pub(crate) fn new(entry: &Entry, job: Arc<Job>) -> Self {
        Self {
            answer_times: entry.answer_times.clone(),
            burn: entry.burn.clone(),
            clock: entry.clock,
            events: 0,
            first_token: None,
            is_counted: false,
            job,
            last_byte: 0,
            metrics: entry.metrics.clone(),
        }
    }

    /// Records an answer that was received completely before it is sent.
    pub(crate) fn record_buffered(&mut self, status: u16, body: &[u8]) {
        if self.job.service.kind == Kind::Engine {
            self.events = tokens(body);
            let later_tokens = self.job.class.between_tokens * self.events.saturating_sub(1);
            // The arrival of the first token is unknown: it is estimated as the total time less the
            // target for the later tokens.
            self.first_token = Some(self.elapsed().saturating_sub(later_tokens));
        }
        self.record_end(status);
    }

    /// Records the end of a complete answer.
    pub(crate) fn record_end(&mut self, status: u16) {
        if status >= MIN_SERVER_ERROR || status == TOO_MANY_REQUESTS {
            return self.count(Outcome::Failed, Verdict::Ran);
        }
        let total = self.elapsed();
        let first_token = *self.first_token.get_or_insert(total);
        let is_late = first_token > self.job.class.first_token || self.is_slow(total);
        let outcome = if is_late {
            Outcome::Late
        } else {
            Outcome::Good
        };
        self.count(outcome, Verdict::Ran);
    }

    /// Records that the answer was cut off on its way to the caller.
    pub(crate) fn record_failure(&mut self) {
        self.count(Outcome::Failed, Verdict::MayHaveRun);
    }

    /// Records that the caller got an error response.
    pub(crate) fn record_refusal(&mut self, refusal: &Refusal) {
        let outcome = match refusal.verdict {
            Verdict::NotRun => Outcome::Refused,
            Verdict::MayHaveRun | Verdict::Ran => Outcome::Failed,
        };
        self.count(outcome, refusal.verdict);
    }

    /// Records a chunk of a streamed answer.
    pub(crate) fn record_chunk(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if [self.last_byte, *byte] == EVENT_END {
                self.events += 1;
            }
            self.last_byte = *byte;
        }
        if self.first_token.is_none() && !bytes.is_empty() {
            self.first_token = Some(self.elapsed());
        }
    }

    /// Whether the mean time between tokens missed its target.
    fn is_slow(&self, total: Duration) -> bool {
        let Some(first_token) = self.first_token else {
            return false;
        };
        let gaps = self.events.saturating_sub(1);
        total.saturating_sub(first_token) > self.job.class.between_tokens * gaps && gaps > 0
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_sub(self.job.arrived)
    }

    fn count(&mut self, outcome: Outcome, verdict: Verdict) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        let total = self.elapsed();
        let job = &self.job;
        let is_cancelled = matches!(outcome, Outcome::Cancelled | Outcome::CancelledLate);
        if verdict != Verdict::NotRun && !is_cancelled {
            self.answer_times.record(self.clock.now(), job, total);
        }
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
        if let Some(first_token) = self.first_token {
            let histogram = self.metrics.first_token.get_or_create(&series);
            histogram.observe(first_token.as_secs_f64(), Some(trace()), None);
        }
        let histogram = self.metrics.total.get_or_create(&series);
        histogram.observe(total.as_secs_f64(), Some(trace()), None);
    }
}

/// The number of generated tokens that an engine reports; 0 if it reports none.
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
        let is_late = self.first_token.is_none() && self.elapsed() > self.job.class.first_token;
        let outcome = if is_late {
            Outcome::CancelledLate
        } else {
            Outcome::Cancelled
        };
        self.count(outcome, Verdict::MayHaveRun);
    }
}
