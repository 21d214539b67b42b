//! One call in the ledger.

use almondwell_schema::{CallKey, Intent, Kept, RunId};

/// An attempt to run a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Hash of the class, path and body.
    pub digest: u64,
    /// Hash of the service, workspace and idempotency key.
    pub key: CallKey,
    /// Identifier of this attempt.
    pub run: RunId,
}

/// Status of a call in the ledger, as an attempt sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Status {
    /// The key belongs to a call with another digest; this attempt was not run.
    Conflict,
    /// An earlier run of the key finished; holds its answer if it was kept.
    Finished(Option<Kept>),
    /// The shard has no room for another call; this attempt was not run.
    Full,
    /// The intent is durable: this attempt, and no other, may run the call.
    Granted,
    /// The shard has not been read yet; ask again after it changed.
    Loading,
    /// Another attempt runs the call or is about to; ask again after the shard changed.
    Running,
    /// An earlier run of the key was interrupted or its holder died: the call may have run.
    Unknown,
    /// The intent is not durable yet; ask again after the shard changed.
    Writing,
}

/// A call as the holder of its shard knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) intent: Intent,
    pub(crate) phase: Phase,
}

/// Progress of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Abandoned by this holder before it ran; its release is not durable yet.
    Abandoned,
    /// Its run finished; holds the answer if it is kept.
    Finished(Option<Kept>),
    /// Its intent is durable and this process runs it.
    Granted,
    /// Its intent is not durable yet.
    Intended,
    /// Its intent is durable and nobody is known to run it.
    Unknown,
}

impl Entry {
    /// Status of `call`; `None` if a new run may start.
    pub(crate) fn status(&self, call: Call) -> Option<Status> {
        if self.phase == Phase::Abandoned {
            return None;
        }
        if self.intent.digest != call.digest {
            return Some(Status::Conflict);
        }
        let is_own = self.intent.run == call.run;
        Some(match &self.phase {
            Phase::Abandoned => return None,
            Phase::Finished(answer) => Status::Finished(answer.clone()),
            Phase::Granted if is_own => Status::Granted,
            Phase::Intended if is_own => Status::Writing,
            Phase::Granted | Phase::Intended => Status::Running,
            Phase::Unknown => Status::Unknown,
        })
    }

    /// Size of the kept answer, in bytes.
    pub(crate) fn kept_bytes(&self) -> usize {
        match &self.phase {
            Phase::Finished(Some(kept)) => size(kept),
            Phase::Abandoned
            | Phase::Finished(None)
            | Phase::Granted
            | Phase::Intended
            | Phase::Unknown => 0,
        }
    }

    /// Whether this holder still works on the call: it runs, or its intent or release is not durable yet.
    pub(crate) fn is_open(&self) -> bool {
        match self.phase {
            Phase::Abandoned | Phase::Granted | Phase::Intended => true,
            Phase::Finished(_) | Phase::Unknown => false,
        }
    }
}

/// Approximate size of `kept`, in bytes.
pub(crate) fn size(kept: &Kept) -> usize {
    let headers: usize = kept
        .headers
        .iter()
        .map(|header| header.name.len() + header.value.len())
        .sum();
    kept.body.len() + headers
}
