//! Answers on their way to callers.

use crate::answer::Head;
use crate::channel::{Broken, Channel};
use crate::delivery::Delivery;
use crate::dispatch::Ending;
use crate::events::Events;
use crate::framing::{Decoder, Framing, LAST_CHUNK, write_chunk};
use crate::refusal::{Reason, Refusal};
use async_std::io::WriteExt;

/// Bytes of a whole answer that are held until it is complete; longer ones pass on as they come.
const MAX_HELD: usize = 64 << 10;

/// What became of an answer.
pub(crate) enum Relayed {
    Broken(Broken),
    CallerGone,
    Done { keeps_alive: bool },
}

/// Reads a whole body that is no success.
pub(crate) async fn collect(channel: &mut Channel, head: &Head) -> Result<Vec<u8>, Broken> {
    let mut decoder = Decoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        let mut piece = Vec::new();
        let is_done = channel.body(&mut decoder, &mut piece).await?;
        body.append(&mut piece);
        if is_done {
            return Ok(body);
        }
        if body.len() > MAX_HELD {
            return Err(Broken::Foreign);
        }
    }
}

/// Passes on an answer that is held until it is complete, so that one that breaks can be asked again.
pub(crate) async fn whole(delivery: Delivery<'_>, head: &Head, channel: &mut Channel) -> Relayed {
    let mut decoder = Decoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        let mut piece = Vec::new();
        let is_done = match channel.body(&mut decoder, &mut piece).await {
            Ok(is_done) => is_done,
            Err(broken) => return Relayed::Broken(broken),
        };
        body.append(&mut piece);
        if is_done {
            break;
        }
        if body.len() > MAX_HELD {
            let mut writer = Writer::new(delivery, head);
            return rest(&mut writer, channel, &mut decoder, body).await;
        }
    }
    first(delivery, head);
    match write_whole(delivery, head, &body).await {
        Some(keeps_alive) => Relayed::Done { keeps_alive },
        None => Relayed::CallerGone,
    }
}

/// Writes a whole answer; returns whether the connection stays, or `None` when the caller is gone.
async fn write_whole(delivery: Delivery<'_>, head: &Head, body: &[u8]) -> Option<bool> {
    let closes = closes(delivery);
    let mut answer = head.write(Framing::Length(body.len() as u64), closes);
    answer.extend_from_slice(body);
    let mut caller = delivery.caller;
    caller.write_all(&answer).await.ok()?;
    Some(!closes)
}

/// Passes on what is held and the rest as it comes.
async fn rest(
    writer: &mut Writer<'_>,
    channel: &mut Channel,
    decoder: &mut Decoder,
    mut held: Vec<u8>,
) -> Relayed {
    loop {
        let is_done = decoder.is_done();
        if !writer.write(&held, is_done).await {
            return Relayed::CallerGone;
        }
        if is_done {
            return writer.done();
        }
        held.clear();
        match channel.body(decoder, &mut held).await {
            Ok(true) if decoder.is_done() => {}
            Ok(true) => {
                return if writer.write(&held, true).await {
                    writer.done()
                } else {
                    Relayed::CallerGone
                };
            }
            Ok(false) => {}
            Err(broken) => return Relayed::Broken(broken),
        }
    }
}

/// Passes on the events of a stream as they come.
pub(crate) async fn stream(
    delivery: Delivery<'_>,
    head: &Head,
    channel: &mut Channel,
    events: &mut Events,
) -> Relayed {
    let mut decoder = Decoder::new(head.framing);
    let mut writer = Writer::new(delivery, head);
    loop {
        let mut piece = Vec::new();
        let is_done = match channel.body(&mut decoder, &mut piece).await {
            Ok(is_done) => is_done,
            Err(broken) => return Relayed::Broken(broken),
        };
        let mut whole = events.push(&piece);
        if !whole.is_empty() {
            began(delivery);
        }
        if is_done {
            whole.append(&mut events.finish());
        }
        if !whole.is_empty() || is_done {
            delivery.progress.events(events.count());
            if !writer.write(&whole, is_done).await {
                return Relayed::CallerGone;
            }
            if is_done {
                return writer.done();
            }
        }
    }
}

/// Passes on the answer with which an upstream failed.
pub(crate) async fn failure(delivery: Delivery<'_>, head: &Head, body: &[u8]) -> Ending {
    // These statuses promise that the request was not run, which only the upstream could say.
    if matches!(head.status, 408 | 421 | 429 | 503) {
        return Ending::Refused(Refusal::failed(502, Reason::UpstreamFailed));
    }
    delivery
        .progress
        .begin(delivery.request.at.elapsed(), head.status);
    match write_whole(delivery, head, body).await {
        Some(keeps_alive) => Ending::Answered { keeps_alive },
        None => Ending::Gone,
    }
}

fn closes(delivery: Delivery<'_>) -> bool {
    !delivery.request.keeps_alive || delivery.router.drain.is_leaving()
}

/// Notes the first token of the send that runs.
fn began(delivery: Delivery<'_>) {
    let now = delivery.router.now();
    if let Some((time, tokens)) = delivery.progress.first_token(now) {
        delivery
            .router
            .figures
            .read(&delivery.admitted.service, time, tokens);
    }
}

fn first(delivery: Delivery<'_>, head: &Head) {
    let time = delivery.request.at.elapsed();
    delivery.router.metrics.first.observe(time.as_secs_f64());
    delivery.progress.begin(time, head.status);
}

/// Writes an answer whose length is not known at its start.
struct Writer<'a> {
    closes: bool,
    framing: Framing,
    head: &'a Head,
    delivery: Delivery<'a>,
}

impl<'a> Writer<'a> {
    fn new(delivery: Delivery<'a>, head: &'a Head) -> Self {
        let framing = if delivery.request.is_chunkable {
            Framing::Chunked
        } else {
            Framing::Close
        };
        Self {
            closes: closes(delivery) || framing == Framing::Close,
            framing,
            head,
            delivery,
        }
    }

    /// Writes a piece, after the head if it is the first; returns whether the caller took it.
    async fn write(&mut self, piece: &[u8], is_last: bool) -> bool {
        let mut out = Vec::with_capacity(piece.len() + 16);
        if !self.delivery.progress.has_begun() {
            first(self.delivery, self.head);
            out = self.head.write(self.framing, self.closes);
        }
        if self.framing == Framing::Chunked {
            write_chunk(&mut out, piece);
            if is_last {
                out.extend_from_slice(LAST_CHUNK);
            }
        } else {
            out.extend_from_slice(piece);
        }
        let mut caller = self.delivery.caller;
        caller.write_all(&out).await.is_ok()
    }

    fn done(&self) -> Relayed {
        Relayed::Done {
            keeps_alive: !self.closes,
        }
    }
}
