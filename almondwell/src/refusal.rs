//! Truthful refusals.

use almondwell_schema::{RequestId, Verdict};
use http_types::{Response, StatusCode};
use serde_json::json;
use std::time::Duration;

/// Header that says whether the request may have run.
pub(crate) const VERDICT_HEADER: &str = "Almondwell-Verdict";
/// Header that names the request.
pub(crate) const REQUEST_HEADER: &str = "Almondwell-Request";

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
