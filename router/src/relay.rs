//! Relays responses from upstreams to callers.

use crate::backend::Backend;
use crate::connection::Error;
use crate::crash::{self, Sign};
use crate::delivery::{Delivery, attempt_id};
use crate::dispatch::Outcome;
use crate::events::Events;
use crate::exchange::Exchange;
use crate::framing::{Decoder, Framing, LAST_CHUNK, write_chunk};
use crate::refusal::{Reason, Refusal};
use crate::response::Head;
use crate::{streams, usage};
use async_std::io::WriteExt;
use std::sync::Arc;
use std::time::Duration;

/// Bytes of a response that are buffered until it is complete; a longer one is relayed as it arrives.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Bytes of a response that are copied to be written together with their framing. Most events and responses are shorter.
const MAX_COPIED_BYTES: usize = 16 << 10;

/// Capacity by which a buffered response grows.
const GROWTH_BYTES: usize = 8 << 10;

/// Time from its first event after which a stream is sound: an upstream that a request crashes does so when it begins
/// the answer.
const SOUND_AFTER: Duration = Duration::from_secs(1);

/// Outcome of relaying a response.
pub(crate) enum RelayOutcome {
    Error(Error),
    CallerClosed,
    Completed { is_keep_alive: bool },
}

/// Reads the complete body of an error response.
///
/// # Errors
///
/// Fails when the connection fails, or the body is malformed or too long.
pub(crate) async fn read_body(
    delivery: Delivery<'_>,
    exchange: &mut Exchange<'_>,
    head: &Head,
) -> Result<Vec<u8>, Error> {
    let mut decoder = Decoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        let mut chunk = Vec::new();
        let is_done = exchange.read_body(&mut decoder, &mut chunk).await?;
        let before = body.capacity();
        append(&mut body, &chunk);
        delivery.client.hold_anyway(body.capacity() - before);
        if is_done {
            return Ok(body);
        }
        if body.len() > MAX_BUFFERED_BYTES {
            return Err(Error::InvalidResponse);
        }
    }
}

/// Checks that the upstream has sent the complete response, whose framing has ended. The system of a killed process closes
/// its connections in the ordinary way, so an end that only the connection shows counts if the upstream still accepts a
/// connection, and has not reset this one meanwhile.
///
/// # Errors
///
/// Fails when the upstream cannot be reached, or has reset the connection.
pub(crate) async fn check_end(
    delivery: Delivery<'_>,
    backend: &Arc<Backend>,
    exchange: &Exchange<'_>,
    head: &Head,
    events: u32,
) -> Result<(), Error> {
    if head.framing != Framing::Close {
        return Ok(());
    }
    // Otherwise the end of the request would check the upstream a second time.
    delivery.progress.set_holder(delivery.router.now(), None);
    let sign = if (200..300).contains(&head.status) {
        Sign::Ended
    } else {
        Sign::EndedInError
    };
    if !crash::check(delivery, backend, events, sign).await {
        return Err(Error::Unreachable);
    }
    if exchange.is_reset() {
        return Err(Error::Reset);
    }
    Ok(())
}

/// Relays a response that is buffered until it is complete, so that the request can be retried if the
/// connection fails before that.
pub(crate) async fn buffered(
    delivery: Delivery<'_>,
    backend: &Arc<Backend>,
    head: &Head,
    exchange: &mut Exchange<'_>,
) -> RelayOutcome {
    let mut decoder = Decoder::new(head.framing);
    let mut body = Vec::new();
    let mut buffered = 0;
    loop {
        let mut chunk = Vec::new();
        let is_done = match exchange.read_body(&mut decoder, &mut chunk).await {
            Ok(is_done) => is_done,
            Err(error) => return RelayOutcome::Error(error),
        };
        delivery.progress.record_bytes(delivery.router.now());
        append(&mut body, &chunk);
        if is_done {
            break;
        }
        // Without memory for more, the response is relayed earlier: a request that has run is not given up.
        let growth = body.capacity() - buffered;
        let has_room = delivery.client.try_hold(growth);
        if has_room {
            buffered += growth;
        }
        if body.len() > MAX_BUFFERED_BYTES || !has_room {
            return relay_remainder(delivery, backend, head, exchange, decoder, body, buffered)
                .await;
        }
    }
    if let Err(error) = check_end(delivery, backend, exchange, head, 0).await {
        return RelayOutcome::Error(error);
    }
    record_first_byte(delivery, head);
    match write_response(delivery, head, &body).await {
        Some(is_keep_alive) => RelayOutcome::Completed { is_keep_alive },
        None => RelayOutcome::CallerClosed,
    }
}

/// Writes a complete response; returns whether the caller's connection stays open, or `None` when the caller
/// has closed it.
async fn write_response(delivery: Delivery<'_>, head: &Head, body: &[u8]) -> Option<bool> {
    let is_closing = is_closing(delivery);
    let mut response = head.write(Framing::Length(body.len() as u64), is_closing);
    let mut caller = delivery.caller;
    let (first, rest) = body.split_at(body.len().min(MAX_COPIED_BYTES));
    response.extend_from_slice(first);
    caller.write_all(&response).await.ok()?;
    drop(response);
    caller.write_all(rest).await.ok()?;
    Some(!is_closing)
}

/// Appends `chunk` to a response, whose capacity stays close to its length.
fn append(body: &mut Vec<u8>, chunk: &[u8]) {
    if body.capacity() - body.len() < chunk.len() {
        body.reserve_exact(chunk.len().next_multiple_of(GROWTH_BYTES));
    }
    body.extend_from_slice(chunk);
}

/// Relays the pending bytes, and the rest of the body as it arrives. The client holds `buffered` bytes of memory for the
/// pending ones.
async fn relay_remainder(
    delivery: Delivery<'_>,
    backend: &Arc<Backend>,
    head: &Head,
    exchange: &mut Exchange<'_>,
    mut decoder: Decoder,
    mut pending: Vec<u8>,
    mut buffered: usize,
) -> RelayOutcome {
    let mut writer = Writer::new(delivery, head);
    let mut is_done = false;
    loop {
        // The body of a response without a length ends by a read without bytes, so none wait for the check.
        if is_done && let Err(error) = check_end(delivery, backend, exchange, head, 0).await {
            return RelayOutcome::Error(error);
        }
        if !writer.write(pending, is_done).await {
            return RelayOutcome::CallerClosed;
        }
        if is_done {
            return writer.completed();
        }
        // A client that reads slowly must not hold the memory of the largest piece.
        pending = Vec::new();
        delivery.client.release(std::mem::take(&mut buffered));
        is_done = match exchange.read_body(&mut decoder, &mut pending).await {
            Ok(is_done) => is_done,
            Err(error) => return RelayOutcome::Error(error),
        };
    }
}

/// Relays the events of a stream as they arrive. A stream that ends inside an event has been broken off, also
/// if its framing is complete, and so has one that ends with its connection before its first event. So is a resumed
/// stream that neither states its type nor has an event: it may be another response.
pub(crate) async fn stream(
    delivery: Delivery<'_>,
    backend: &Arc<Backend>,
    head: &Head,
    exchange: &mut Exchange<'_>,
    events: &mut Events,
) -> RelayOutcome {
    let mut decoder = Decoder::new(head.framing);
    let mut writer = Writer::new(delivery, head);
    let mut first_event_at = None;
    let needs_event = delivery.progress.has_started() && !head.is_typed;
    let count_before = events.count();
    loop {
        let mut chunk = Vec::new();
        let is_done = match exchange.read_body(&mut decoder, &mut chunk).await {
            Ok(is_done) => is_done,
            Err(error) => return RelayOutcome::Error(error),
        };
        delivery.progress.record_bytes(delivery.router.now());
        let before = events.capacity();
        let complete = events.push(&chunk);
        drop(chunk);
        delivery.client.resize(before, events.capacity());
        if !complete.is_empty() {
            if first_event_at.is_none() {
                streams::record(delivery, backend);
            }
            record_first_token(delivery);
            usage::record_token(delivery);
            let now = delivery.router.now();
            if now.saturating_sub(*first_event_at.get_or_insert(now)) >= SOUND_AFTER {
                crash::record_progress(delivery);
            }
        }
        let is_unframed = head.framing == Framing::Close;
        let is_incomplete = events.incomplete_bytes() > 0
            || (is_unframed && events.is_empty())
            || (needs_event && events.count() == count_before);
        let is_broken_off = is_done && is_incomplete;
        let is_last = is_done && !is_broken_off;
        if is_done && is_unframed {
            log_unframed_end(delivery, events);
        }
        // As in `relay_remainder`, no event waits for the check.
        let count = events.count();
        if is_last && let Err(error) = check_end(delivery, backend, exchange, head, count).await {
            return RelayOutcome::Error(error);
        }
        if !complete.is_empty() || is_last {
            delivery.progress.set_events(events.count());
            if !writer.write(complete, is_last).await {
                return RelayOutcome::CallerClosed;
            }
        }
        if is_broken_off {
            return RelayOutcome::Error(Error::IncompleteEvent);
        }
        if is_last {
            return writer.completed();
        }
    }
}

/// Logs the end of a stream that only the end of its connection shows, and what arrived of an incomplete event.
fn log_unframed_end(delivery: Delivery<'_>, events: &Events) {
    spdlog::info!("stream ended with its connection", kv: {
        request = attempt_id(delivery.request), events = events.count(),
        incomplete_bytes = events.incomplete_bytes()
    });
}

/// Relays an upstream's error response.
pub(crate) async fn error_response(delivery: Delivery<'_>, head: &Head, body: &[u8]) -> Outcome {
    // These statuses promise that the request was not run. The upstream did not say so, so it may have run.
    if matches!(head.status, 408 | 421 | 429 | 503) {
        return Outcome::Refused(Refusal::failed(502, Reason::UpstreamFailed));
    }
    delivery
        .progress
        .start_response(delivery.request.received_at.elapsed(), head.status);
    match write_response(delivery, head, body).await {
        Some(is_keep_alive) => Outcome::Answered { is_keep_alive },
        None => Outcome::CallerClosed,
    }
}

fn is_closing(delivery: Delivery<'_>) -> bool {
    !delivery.request.is_keep_alive || delivery.router.drain.is_draining()
}

/// Records the first token of the current send.
fn record_first_token(delivery: Delivery<'_>) {
    let now = delivery.router.now();
    if let Some((time, tokens)) = delivery.progress.first_token(now) {
        delivery
            .router
            .services
            .record_prefill(&delivery.admitted.service, time, tokens);
    }
}

fn record_first_byte(delivery: Delivery<'_>, head: &Head) {
    let time = delivery.request.received_at.elapsed();
    delivery
        .router
        .metrics
        .first_byte
        .observe(time.as_secs_f64());
    delivery.progress.start_response(time, head.status);
}

/// Writes a response whose length is not known at the start.
struct Writer<'a> {
    is_closing: bool,
    framing: Framing,
    head: &'a Head,
    delivery: Delivery<'a>,
}

impl<'a> Writer<'a> {
    fn new(delivery: Delivery<'a>, head: &'a Head) -> Self {
        let framing = if delivery.request.supports_chunked {
            Framing::Chunked
        } else {
            Framing::Close
        };
        Self {
            is_closing: is_closing(delivery) || framing == Framing::Close,
            framing,
            head,
            delivery,
        }
    }

    /// Writes a part of the body, and the head before the first one; returns whether writing succeeded.
    async fn write(&mut self, chunk: Vec<u8>, is_last: bool) -> bool {
        let mut out = Vec::new();
        if !self.delivery.progress.has_started() {
            record_first_byte(self.delivery, self.head);
            out = self.head.write(self.framing, self.is_closing);
        }
        let mut pieces = chunk.chunks(MAX_COPIED_BYTES);
        let last = pieces.next_back().unwrap_or_default();
        for piece in pieces {
            self.append(&mut out, piece);
            if !self.send(&out).await {
                return false;
            }
            out.clear();
        }
        self.append(&mut out, last);
        // A client that reads slowly must not hold the copy and the original.
        drop(chunk);
        if is_last && self.framing == Framing::Chunked {
            out.extend_from_slice(LAST_CHUNK);
        }
        self.send(&out).await
    }

    fn append(&self, out: &mut Vec<u8>, piece: &[u8]) {
        if self.framing == Framing::Chunked {
            write_chunk(out, piece);
        } else {
            out.extend_from_slice(piece);
        }
    }

    /// Writes encoded bytes, whose memory the client holds meanwhile.
    async fn send(&self, out: &[u8]) -> bool {
        let mut caller = self.delivery.caller;
        self.delivery.client.hold_anyway(out.len());
        let is_sent = caller.write_all(out).await.is_ok();
        self.delivery.client.release(out.len());
        is_sent
    }

    fn completed(&self) -> RelayOutcome {
        RelayOutcome::Completed {
            is_keep_alive: !self.is_closing,
        }
    }
}
