//! An upstream's answer and its HTTP response to the caller.

use crate::metered::Metered;
use crate::observation::Observation;
use crate::refusal::{REQUEST_HEADER, VERDICT_HEADER};
use almondwell_daemon::Pipe;
use almondwell_schema::{Head, RequestId, Verdict};
use http_types::{Body, Response, StatusCode};

/// An upstream's answer.
pub(crate) enum Answer {
    /// The head; the body arrives through the pipe while the upstream produces it.
    Stream(Head, Pipe),
    /// The head and the complete body.
    Buffered(Head, Vec<u8>),
}

impl Answer {
    /// Builds the HTTP response; `observation` records how the answer ends.
    pub(crate) fn response(self, request: RequestId, mut observation: Observation) -> Response {
        let (head, body) = match self {
            Self::Stream(head, pipe) => {
                let reader = Metered::new(observation, pipe, head.status);
                (head, Body::from_reader(reader, None))
            }
            Self::Buffered(head, bytes) => {
                observation.record_buffered(head.status, &bytes);
                (head, Body::from_bytes(bytes))
            }
        };
        let status = StatusCode::try_from(head.status).unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(status);
        response.set_body(body);
        for header in &head.headers {
            response.insert_header(&*header.name, &*header.value);
        }
        response.insert_header(VERDICT_HEADER, Verdict::Ran.label());
        response.insert_header(REQUEST_HEADER, format!("{request:032x}"));
        response
    }
}
