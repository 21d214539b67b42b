//! Read buffer of a connection.

use crate::segments;
use almondwell_wire::{Allowance, Inflow};
use async_std::io::{self, Read};
use async_std::net::TcpStream;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Poll, ready};

/// Most bytes read at once.
const READ_SIZE: usize = 8 << 10;
/// Least capacity of a buffer that holds bytes; most requests fit.
const MIN_CAPACITY: usize = 4 << 10;

/// A connection and the bytes received on it that have not been consumed.
pub(crate) struct Buffer {
    bytes: Vec<u8>,
    inflow: Inflow,
}

impl Buffer {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            bytes: Vec::new(),
            inflow: Inflow::new(stream, Allowance::new(u64::MAX)),
        }
    }

    /// Limits the bytes that are read from now on; reads beyond `bytes` fail with `InvalidData`.
    pub(crate) fn allow(&self, bytes: u64) {
        self.inflow.allowance().set(bytes);
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Bytes of memory that the buffer holds.
    pub(crate) const fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Capacity that the buffer may have after the next read.
    pub(crate) fn next_capacity(&self) -> usize {
        let length = self.bytes.len() + READ_SIZE;
        self.capacity().max(capacity_for(length))
    }

    /// Drops all bytes and frees their memory.
    pub(crate) fn clear(&mut self) {
        segments::put(std::iter::once(std::mem::take(&mut self.bytes)));
    }

    pub(crate) const fn stream(&self) -> &TcpStream {
        self.inflow.tcp()
    }

    /// Drops the first `count` bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        if self.bytes.is_empty() {
            // Frees the memory, so that idle connections hold none.
            self.clear();
        }
    }

    /// Removes and returns the first `count` bytes.
    pub(crate) fn take(&mut self, count: usize) -> Vec<u8> {
        let mut taken = segments::take_or_allocate(count);
        taken.extend_from_slice(&self.bytes[..count]);
        self.consume(count);
        taken
    }

    /// Reads once; returns the number of new bytes, 0 if the peer has closed the connection.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        let Self { bytes, inflow } = self;
        // The chunk lives on the stack during one poll, so an idle connection holds no buffer.
        poll_fn(|context| {
            let mut chunk = [0; READ_SIZE];
            let count = ready!(Pin::new(&mut *inflow).poll_read(context, &mut chunk))?;
            let length = bytes.len() + count;
            if bytes.capacity() < length {
                segments::grow(bytes, capacity_for(length));
            }
            bytes.extend_from_slice(&chunk[..count]);
            Poll::Ready(Ok(count))
        })
        .await
    }
}

fn capacity_for(length: usize) -> usize {
    length.next_power_of_two().max(MIN_CAPACITY)
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.clear();
    }
}
