//! One call in the ledger.

use almondwell_schema::{CallKey, Intent, Kept, RunId};

/// A call that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Hash of its class, path and body.
    pub digest: u64,
    /// Hash of its service, workspace and idempotency key.
    pub key: CallKey,
    /// This attempt.
    pub run: RunId,
}

/// What the ledger says to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The key belongs to a call with another body; nothing was run.
    Conflict,
    /// An earlier run of the key ended; holds its answer if it was kept.
    Finished(Option<Kept>),
    /// The shard has no room for a further call; nothing was run.
    Full,
    /// The intent is durable: this attempt alone may run the call.
    Granted,
    /// The shard is not read yet; ask again after it changed.
    Loading,
    /// Another attempt is running the call or about to; ask again after the shard changed.
    Running,
    /// An earlier run of the key broke off or its holder died: it may have run.
    Unknown,
    /// The intent is not durable yet; ask again after the shard changed.
    Writing,
}

/// A call as a shard's holder knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) intent: Intent,
    pub(crate) phase: Phase,
}

/// How far a call has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Given up by this holder before it ran; its release is not durable yet.
    Abandoned,
    /// It ran to its end.
    Finished(Option<Kept>),
    /// Its intent is durable and this process runs it.
    Granted,
    /// Its intent is not durable yet.
    Intended,
    /// Its intent is durable and nobody is known to run it.
    Unknown,
}

impl Entry {
    /// What `call` is told; `None` when it may start anew.
    pub(crate) fn standing(&self, call: Call) -> Option<Standing> {
        if self.phase == Phase::Abandoned {
            return None;
        }
        if self.intent.digest != call.digest {
            return Some(Standing::Conflict);
        }
        let is_own = self.intent.run == call.run;
        Some(match &self.phase {
            Phase::Abandoned => return None,
            Phase::Finished(answer) => Standing::Finished(answer.clone()),
            Phase::Granted if is_own => Standing::Granted,
            Phase::Intended if is_own => Standing::Writing,
            Phase::Granted | Phase::Intended => Standing::Running,
            Phase::Unknown => Standing::Unknown,
        })
    }

    /// Bytes of the kept answer.
    pub(crate) fn kept(&self) -> usize {
        match &self.phase {
            Phase::Finished(Some(kept)) => size(kept),
            Phase::Abandoned
            | Phase::Finished(None)
            | Phase::Granted
            | Phase::Intended
            | Phase::Unknown => 0,
        }
    }

    /// Whether the call's holder still works on it.
    pub(crate) fn is_open(&self) -> bool {
        match self.phase {
            Phase::Abandoned | Phase::Granted | Phase::Intended => true,
            Phase::Finished(_) | Phase::Unknown => false,
        }
    }
}

/// Bytes that `kept` takes, nearly.
pub(crate) fn size(kept: &Kept) -> usize {
    let headers: usize = kept
        .headers
        .iter()
        .map(|header| header.name.len() + header.value.len())
        .sum();
    kept.body.len() + headers
}
