//! Error responses that the router generates itself.

use almondwell_platform::headers;
use almondwell_schema::Verdict;
use std::io::Write;
use std::time::Duration;

/// Why the router refuses a request or cannot complete it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    BodyTimeout,
    BodyTooLong,
    Deadline,
    HeadTimeout,
    HeadTooLong,
    Malformed,
    NoConfiguration,
    NoRoom,
    NoUpstream,
    Quarantined,
    RetriesSpent,
    Stale,
    Stopping,
    UnknownKey,
    UnknownRoute,
    UnknownStream,
    Unreadable,
    UpstreamFailed,
    UpstreamsFull,
    VersionGone,
}

impl Reason {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::BodyTimeout => "body_timeout",
            Self::BodyTooLong => "body_too_long",
            Self::Deadline => "deadline",
            Self::HeadTimeout => "head_timeout",
            Self::HeadTooLong => "head_too_long",
            Self::Malformed => "malformed",
            Self::NoConfiguration => "no_configuration",
            Self::NoRoom => "no_room",
            Self::NoUpstream => "no_upstream",
            Self::Quarantined => "quarantined",
            Self::RetriesSpent => "retries_spent",
            Self::Stale => "stale_configuration",
            Self::Stopping => "stopping",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
            Self::UnknownStream => "unknown_stream",
            Self::Unreadable => "unreadable_configuration",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamsFull => "upstreams_full",
            Self::VersionGone => "version_gone",
        }
    }
}

/// An error response of the router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// Value of `Retry-After`: time after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
    pub(crate) status: u16,
    pub(crate) verdict: Verdict,
}

impl Refusal {
    /// The request was not run, and the caller has to change it before a retry.
    pub(crate) const fn invalid(status: u16, reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
            status,
            verdict: Verdict::NotRun,
        }
    }

    /// The request was not run, and the caller may retry it after `retry_after`.
    pub(crate) const fn retryable(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
            status: 503,
            verdict: Verdict::NotRun,
        }
    }

    /// The request may have run.
    pub(crate) const fn failed(status: u16, reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
            status,
            verdict: Verdict::MayHaveRun,
        }
    }

    /// Encodes the complete response. `attempt_id` is echoed to the caller; `is_closing` adds
    /// `Connection: close`.
    pub(crate) fn write(self, attempt_id: Option<&str>, is_closing: bool) -> Vec<u8> {
        let body = format!(
            "{{\"error\":{{\"reason\":\"{}\",\"verdict\":\"{}\"}}}}",
            self.reason.label(),
            self.verdict.label()
        );
        let mut head = Vec::new();
        // Writing to a `Vec` cannot fail.
        let _ = write!(
            head,
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            body.len()
        );
        if let Some(time) = self.retry_after {
            let _ = write!(head, "Retry-After: {:.2}\r\n", time.as_secs_f64());
        }
        if let Some(attempt_id) = attempt_id {
            headers::write_attempt(&mut head, attempt_id);
        }
        if is_closing {
            head.extend_from_slice(b"Connection: close\r\n");
        }
        head.extend_from_slice(b"\r\n");
        head.extend_from_slice(body.as_bytes());
        head
    }
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
