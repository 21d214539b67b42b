//! Connections for HTTP clients that check too little of a response's head: they take an ambiguous length or the last of several,
//! an interim response for the final one and an unknown transfer coding for an empty body, and panic on a value beyond ASCII.

use crate::{Framing, Inflow, Status, fields};
use async_std::io::{self, Read, Write};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

/// Longest head; servers send a few hundred bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most fields of a head.
const MAX_HEADERS: usize = 100;
const READ_BYTES: usize = 16 << 10;

/// A connection to a server whose response is read once. A read never returns bytes of the head and the body together,
/// skips interim heads, and fails on an invalid head. Clones share what was received.
#[derive(Clone, Debug)]
pub struct Reply {
    inflow: Inflow,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes received and not yet read.
    buffer: Vec<u8>,
    /// Bytes of the final head that were not read; `None` until it has arrived.
    head: Option<usize>,
}

impl State {
    /// Skips interim heads; returns whether the final head has arrived.
    fn has_head(&mut self) -> io::Result<bool> {
        while self.head.is_none() {
            match parse(&self.buffer)? {
                None => return Ok(false),
                Some((Status::Final, length)) => self.head = Some(length),
                Some((Status::Interim, length)) => drop(self.buffer.drain(..length)),
            }
        }
        Ok(true)
    }

    /// Moves bytes of the head, or else of the body, to `out`; returns their number.
    fn take(&mut self, out: &mut [u8]) -> usize {
        let head = self.head.unwrap_or_default();
        let available = if head > 0 { head } else { self.buffer.len() };
        let count = out.len().min(available);
        out[..count].copy_from_slice(&self.buffer[..count]);
        self.buffer.drain(..count);
        self.head = Some(head.saturating_sub(count));
        count
    }
}

impl Reply {
    /// A connection whose response has not begun.
    pub fn new(inflow: Inflow) -> Self {
        Self {
            inflow,
            state: Arc::default(),
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Role and length of the head at the start of `bytes`; `None` while it is incomplete.
fn parse(bytes: &[u8]) -> io::Result<Option<(Status, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(invalid("the head is too long")),
        Err(error) => return Err(invalid(&format!("invalid head: {error}"))),
    };
    let status = response.code.and_then(Status::of);
    let status = status.ok_or_else(|| invalid("the status is invalid"))?;
    if status == Status::Interim {
        return Ok(Some((status, length)));
    }
    let head = &bytes[..length];
    // The HTTP client does not recognise another end, and would read on.
    if !head.ends_with(b"\r\n\r\n") && !head.ends_with(b"\n\n") {
        return Err(invalid("the head ends with line breaks of both kinds"));
    }
    if !head.is_ascii() {
        return Err(invalid("the head has a byte beyond ASCII"));
    }
    let codings = fields::values(response.headers, "Transfer-Encoding");
    match fields::framing(response.headers, Framing::Close) {
        None => Err(invalid("the length of the body is ambiguous")),
        // The HTTP client would take the body for empty.
        Some(Framing::Chunked) if codings != ["chunked"] => {
            Err(invalid("the transfer coding is not in lower case"))
        }
        Some(_) => Ok(Some((status, length))),
    }
}

fn invalid(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

impl Read for Reply {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Self { inflow, state } = self.get_mut();
        loop {
            {
                let mut state = lock(state);
                if state.has_head()? {
                    if state.buffer.is_empty() {
                        return Pin::new(inflow).poll_read(context, out);
                    }
                    return Poll::Ready(Ok(state.take(out)));
                }
            }
            let mut chunk = [0; READ_BYTES];
            let count = ready!(Pin::new(&mut *inflow).poll_read(context, &mut chunk))?;
            if count == 0 {
                return Poll::Ready(Ok(0));
            }
            lock(state).buffer.extend_from_slice(&chunk[..count]);
        }
    }
}

impl Write for Reply {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inflow).poll_write(context, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inflow).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inflow).poll_close(context)
    }
}
