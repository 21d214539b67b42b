//! Error responses that state whether the request may have run.

use almondwell_schema::{Fault, Reason, RequestId, Verdict};
use http_types::{Response, StatusCode};
use serde_json::json;
use std::time::Duration;

/// Response header that states whether the request may have run.
pub(crate) const VERDICT_HEADER: &str = "Almondwell-Verdict";
/// Response header with the request id.
pub(crate) const REQUEST_HEADER: &str = "Almondwell-Request";

/// Error code: the grant of a slot expired before the call arrived.
pub(crate) const SLOT_EXPIRED: &str = "place_expired";
/// Error code: the ledger is full.
pub(crate) const LEDGER_FULL: &str = "ledger_full";
/// Error code: an earlier run under the same idempotency key was interrupted.
pub(crate) const INTERRUPTED: &str = "interrupted";
/// Error code: the store is not reachable.
pub(crate) const STORE_DOWN: &str = "store_down";

/// `Retry-After` for a call that failed before it ran.
const NOT_RUN_RETRY: Duration = Duration::from_secs(1);
/// `Retry-After` for a call that another entry takes at once.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// Why a caller gets an error response instead of an upstream's answer.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Methods that the path supports; set for a wrong method only.
    pub(crate) allow: Option<&'static str>,
    pub(crate) code: &'static str,
    pub(crate) message: Box<str>,
    pub(crate) retry: Option<Duration>,
    pub(crate) status: StatusCode,
    pub(crate) verdict: Verdict,
}

impl Refusal {
    /// An invalid call, which was not run.
    pub(crate) fn invalid(
        status: StatusCode,
        code: &'static str,
        message: impl Into<Box<str>>,
    ) -> Self {
        Self {
            allow: None,
            code,
            message: message.into(),
            retry: None,
            status,
            verdict: Verdict::NotRun,
        }
    }

    /// A call with a method that its path does not support; `allow` lists those that it does.
    pub(crate) fn method_not_allowed(allow: &'static str) -> Self {
        Self {
            allow: Some(allow),
            ..Self::invalid(
                StatusCode::MethodNotAllowed,
                "method",
                format!("wrong method for this path; expected {allow}"),
            )
        }
    }

    /// A request in quarantine, because upstreams crashed while running it.
    pub(crate) fn quarantined(verdict: Verdict) -> Self {
        Self {
            verdict,
            ..Self::invalid(
                StatusCode::UnprocessableEntity,
                "quarantined",
                "the request crashed the upstreams that ran it and is not run again",
            )
        }
    }

    /// A call that was not run, since the entry is stopping and has too little time left for it.
    pub(crate) fn stopping() -> Self {
        Self {
            code: "stopping",
            ..Self::busy(
                "the entry is stopping and has too little time left for the request",
                STOPPING_RETRY,
            )
        }
    }

    /// A call that was not run for lack of capacity; the caller may retry after `retry`.
    pub(crate) fn busy(message: impl Into<Box<str>>, retry: Duration) -> Self {
        Self {
            allow: None,
            code: "overloaded",
            message: message.into(),
            retry: Some(retry),
            status: StatusCode::ServiceUnavailable,
            verdict: Verdict::NotRun,
        }
    }

    /// A call that failed at an upstream or on the way there.
    pub(crate) fn failed(verdict: Verdict, message: impl Into<Box<str>>) -> Self {
        Self {
            allow: None,
            code: "upstream_failed",
            message: message.into(),
            retry: (verdict == Verdict::NotRun).then_some(NOT_RUN_RETRY),
            status: StatusCode::BadGateway,
            verdict,
        }
    }

    /// The refusal of a request whose earlier attempts had `verdict`, which it raises its own to.
    pub(crate) fn after(self, verdict: Verdict) -> Self {
        if self.verdict >= verdict {
            return self;
        }
        Self::failed(verdict, self.message)
    }

    /// Builds the response, with a body in the format of `OpenAI`'s errors.
    pub(crate) fn response(&self, request: RequestId) -> Response {
        let kind = if self.status.is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        let body = json!({"error": {
            "message": &*self.message,
            "type": kind,
            "code": self.code,
            "param": null,
        }});
        let mut response = Response::new(self.status);
        response.set_body(http_types::Body::from_string(body.to_string()));
        response.insert_header("Content-Type", "application/json");
        response.insert_header(VERDICT_HEADER, self.verdict.label());
        response.insert_header(REQUEST_HEADER, format!("{request:032x}"));
        if let Some(allow) = self.allow {
            response.insert_header("Allow", allow);
        }
        if let Some(retry) = self.retry {
            response.insert_header("Retry-After", retry.as_secs().max(1).to_string());
        }
        response
    }
}

impl From<Fault> for Refusal {
    /// Maps a side's fault to the refusal that the caller gets.
    fn from(fault: Fault) -> Self {
        let (status, code) = match fault.reason {
            Reason::Expired => (StatusCode::ServiceUnavailable, SLOT_EXPIRED),
            Reason::Full => (StatusCode::ServiceUnavailable, LEDGER_FULL),
            Reason::Interrupted => (StatusCode::Conflict, INTERRUPTED),
            Reason::KeyReused => (StatusCode::UnprocessableEntity, "key_reused"),
            Reason::NotKept => (StatusCode::Conflict, "answer_not_kept"),
            Reason::StoreDown => (StatusCode::ServiceUnavailable, STORE_DOWN),
            Reason::Quarantined => return Self::quarantined(fault.verdict),
            Reason::Late | Reason::Leaving | Reason::Stalled | Reason::Unknown => {
                return Self::failed(fault.verdict, fault.detail);
            }
        };
        Self {
            code,
            retry: Some(fault.retry).filter(|retry| !retry.is_zero()),
            status,
            ..Self::failed(fault.verdict, fault.detail)
        }
    }
}
