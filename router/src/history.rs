//! Sends of one request so far, and what they imply for the next one.

use crate::backend::Backend;
use crate::delivery::{Delivery, Failure};
use crate::events::Events;
use crate::response::Head;
use almondwell_core::table::Retry;

/// Sends of a request so far and what they imply for the next one.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) events: Events,
    pub(crate) failed_connects: u32,
    pub(crate) failure: Option<Box<Failure>>,
    pub(crate) may_have_run: bool,
    pub(crate) sends: u32,
    /// Whether the stream of which the caller may have the start stated its type; `None` if its response is no stream.
    stream_is_typed: Option<bool>,
    /// Identifiers of the upstreams that were tried.
    pub(crate) tried: Vec<Box<str>>,
    /// Version of the upstream whose response the caller has the start of.
    version: Option<Box<str>>,
}

impl History {
    pub(crate) fn new(delivery: Delivery<'_>) -> Self {
        Self {
            events: Events::after(delivery.request.job.last_event.as_deref()),
            ..Self::default()
        }
    }

    /// The version that alone may serve the request, if its caller has a part of a stream.
    pub(crate) fn version<'a>(&'a self, delivery: Delivery<'a>) -> Option<&'a str> {
        let version = if delivery.progress.has_started() {
            &self.version
        } else {
            &delivery.admitted.version
        };
        version.as_deref()
    }

    /// Records the head of a successful response of `backend`; returns whether the caller may get it. A caller that has the start of
    /// a response gets only the events that continue its stream.
    pub(crate) fn accept(
        &mut self,
        delivery: Delivery<'_>,
        backend: &Backend,
        is_stream: bool,
        head: &Head,
    ) -> bool {
        if delivery.progress.has_started() {
            // A response that does not state its type may be a stream, but only if the start did not state it either.
            return is_stream && (head.is_typed || self.stream_is_typed == Some(false));
        }
        self.stream_is_typed = is_stream.then_some(head.is_typed);
        self.version = Some(backend.upstream.version.clone());
        true
    }

    /// Whether the route allows the request to be sent again.
    pub(crate) fn may_resend(&self, delivery: Delivery<'_>) -> bool {
        let (has_started, route) = (delivery.progress.has_started(), &delivery.admitted.route);
        if self.sends >= route.attempts {
            return false;
        }
        match route.retry {
            Retry::Idempotent => !has_started,
            Retry::Never => !self.may_have_run,
            Retry::Resumable => {
                !has_started || (self.stream_is_typed.is_some() && self.events.can_resume())
            }
        }
    }
}
