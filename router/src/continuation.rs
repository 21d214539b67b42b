//! Decides where a request may go that continues a stream: only to the version of the service that began it.

use crate::dispatch::retry_after;
use crate::refusal::{Reason, Refusal};
use crate::request::Request;
use crate::router::Router;
use crate::streams::{ask, id};
use crate::{stream_objects, version_objects};
use almondwell_core::streams::{Known, Origin, StreamId};
use almondwell_core::table::Route;
use almondwell_platform::Error;
use async_std::future::timeout;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for finding out where a stream began; a caller may still be told in time that it is not known.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Where a request may continue a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Continuation {
    /// The request does not continue a stream.
    None,
    /// Only where the stream began.
    Origin(Arc<Origin>),
    /// It is not known where the stream began; it can go on only at a service of which no other version can have begun it.
    Sole,
    /// Nowhere: it is not known where the stream began, or entries disagree.
    Unknown,
}

impl Continuation {
    /// The service that the request is sent to, and the version that alone may serve it, if any.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused.
    pub(crate) fn destination(
        &self,
        router: &Router,
        route: &Route,
    ) -> Result<(Box<str>, Option<Box<str>>), Refusal> {
        let refused = |reason| Refusal::retryable(reason, retry_after());
        let any: Box<str> = route
            .service(rand::rng().random())
            .ok_or_else(|| refused(Reason::NoUpstream))?
            .into();
        match self {
            Self::None => Ok((any, None)),
            Self::Origin(origin) => {
                let service = if route.leads_to(&origin.service) {
                    origin.service.clone()
                } else {
                    any
                };
                Ok((service, Some(origin.version.clone())))
            }
            Self::Sole => match router.streams.sole_version(&any) {
                Some(version) => Ok((any, Some(version))),
                None => Err(refused(Reason::UnknownStream)),
            },
            Self::Unknown => Err(refused(Reason::UnknownStream)),
        }
    }
}

/// Finds out where the stream began that a request on `route` continues.
pub(crate) async fn find(router: &Router, route: &Route, request: &Request) -> Continuation {
    if !route.is_stream || request.job.last_event.is_none() {
        return Continuation::None;
    }
    // Boxed, since its calls of the store would otherwise take memory in the future of every connection.
    let found = timeout(
        LOOKUP_TIMEOUT,
        Box::pin(look_up(router, request.job.resumes.as_deref())),
    )
    .await;
    let (continuation, source) = found.unwrap_or((Continuation::Unknown, "timeout"));
    let version = match &continuation {
        Continuation::Origin(origin) => &origin.version,
        Continuation::None | Continuation::Sole | Continuation::Unknown => "-",
    };
    spdlog::info!("stream is resumed", kv: {
        request = request.job.attempt.as_deref().unwrap_or("-"),
        resumes = request.job.resumes.as_deref().unwrap_or("-"),
        last_event = request.job.last_event.as_deref().unwrap_or("-"),
        version, source
    });
    router.metrics.record_continuation(source);
    continuation
}

/// Where the stream began that the attempt `resumes` brought, and from where that is known.
async fn look_up(router: &Router, resumes: Option<&str>) -> (Continuation, &'static str) {
    let start = router.now();
    if let Some(attempt) = resumes {
        let stream = id(attempt);
        if let Some(known) = known(router, stream) {
            return (known, "memory");
        }
        ask(router, stream).await;
        if let Some(known) = known(router, stream) {
            return (known, "entry");
        }
        let shard = router.streams.lock().shard(stream);
        if let Err(error) = stream_objects::refresh_shard(router, shard, start).await {
            return (unreadable(&error), "store unreachable");
        }
        if let Some(known) = known(router, stream) {
            return (known, "store");
        }
    }
    match version_objects::refresh(router, start).await {
        Ok(()) => (Continuation::Sole, "no record"),
        Err(error) => (unreadable(&error), "store unreachable"),
    }
}

fn unreadable(error: &Error) -> Continuation {
    spdlog::debug!("reading the origins of streams failed", kv: { error = error.to_string() });
    Continuation::Unknown
}

fn known(router: &Router, stream: StreamId) -> Option<Continuation> {
    match router.streams.lock().known(router.now(), stream) {
        Known::Ambiguous => Some(Continuation::Unknown),
        Known::Origin(origin) => Some(Continuation::Origin(origin)),
        Known::Unknown => None,
    }
}
