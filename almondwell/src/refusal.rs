//! Truthful refusals.

use almondwell_schema::{Fault, Reason, RequestId, Verdict};
use http_types::{Response, StatusCode};
use serde_json::json;
use std::time::Duration;

/// Header that says whether the request may have run.
pub(crate) const VERDICT_HEADER: &str = "Almondwell-Verdict";
/// Header that names the request.
pub(crate) const REQUEST_HEADER: &str = "Almondwell-Request";

/// Code of a refusal of a place that was taken too late.
pub(crate) const EXPIRED: &str = "place_expired";
/// Code of a refusal for want of room in the ledger.
pub(crate) const FULL: &str = "ledger_full";
/// Code of a refusal of a key whose run broke off.
pub(crate) const INTERRUPTED: &str = "interrupted";
/// Code of a refusal for want of the store.
pub(crate) const STORE_DOWN: &str = "store_down";

/// Time after which a caller may repeat a call that broke off before it ran.
const NOT_RUN_RETRY: Duration = Duration::from_secs(1);

/// Why a caller gets no answer of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Methods that the path takes, for a wrong method.
    pub(crate) allow: Option<&'static str>,
    pub(crate) code: &'static str,
    pub(crate) message: Box<str>,
    pub(crate) retry: Option<Duration>,
    pub(crate) status: StatusCode,
    pub(crate) verdict: Verdict,
}

impl Refusal {
    /// A call that is wrong in itself and was not run.
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

    /// A call whose path takes only the methods `allow`.
    pub(crate) fn method(allow: &'static str) -> Self {
        Self {
            allow: Some(allow),
            ..Self::invalid(
                StatusCode::MethodNotAllowed,
                "method",
                format!("wrong method for this path; expected {allow}"),
            )
        }
    }

    /// A request that crashed the upstreams that ran it.
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

    /// A call that was not run for want of a place.
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

    /// A call whose run broke off.
    pub(crate) fn broken(verdict: Verdict, message: impl Into<Box<str>>) -> Self {
        Self {
            allow: None,
            code: "upstream_failed",
            message: message.into(),
            retry: (verdict == Verdict::NotRun).then_some(NOT_RUN_RETRY),
            status: StatusCode::BadGateway,
            verdict,
        }
    }

    /// The refusal as an answer in the shape of `OpenAI`'s errors.
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
    /// The refusal that a side's fault stands for.
    fn from(fault: Fault) -> Self {
        let (status, code) = match fault.reason {
            Reason::Expired => (StatusCode::ServiceUnavailable, EXPIRED),
            Reason::Full => (StatusCode::ServiceUnavailable, FULL),
            Reason::Interrupted => (StatusCode::Conflict, INTERRUPTED),
            Reason::KeyReused => (StatusCode::UnprocessableEntity, "key_reused"),
            Reason::NotKept => (StatusCode::Conflict, "answer_not_kept"),
            Reason::StoreDown => (StatusCode::ServiceUnavailable, STORE_DOWN),
            Reason::Quarantined => return Self::quarantined(fault.verdict),
            Reason::Late | Reason::Leaving | Reason::Stalled | Reason::Unknown => {
                return Self::broken(fault.verdict, fault.detail);
            }
        };
        Self {
            code,
            retry: Some(fault.retry).filter(|retry| !retry.is_zero()),
            status,
            ..Self::broken(fault.verdict, fault.detail)
        }
    }
}
