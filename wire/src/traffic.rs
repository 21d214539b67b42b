//! Counters of the messages that the process sends and receives.

use std::sync::atomic::{AtomicU64, Ordering};

/// Messages sent and received since the process started; bytes exclude IP, TCP and UDP headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes of datagrams received.
    pub datagram_bytes_received: u64,
    /// Bytes of datagrams sent.
    pub datagram_bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of frames received.
    pub frame_bytes_received: u64,
    /// Bytes of frames sent.
    pub frame_bytes_sent: u64,
}

impl Traffic {
    /// Returns the current values as pairs of metric name and value.
    pub fn named() -> [(&'static str, u64); 6] {
        let now = Self::now();
        [
            ("datagram_bytes_received", now.datagram_bytes_received),
            ("datagram_bytes_sent", now.datagram_bytes_sent),
            ("datagrams_received", now.datagrams_received),
            ("datagrams_sent", now.datagrams_sent),
            ("frame_bytes_received", now.frame_bytes_received),
            ("frame_bytes_sent", now.frame_bytes_sent),
        ]
    }

    /// Returns the current values.
    pub fn now() -> Self {
        Self {
            datagram_bytes_received: RECEIVED.datagram_bytes.load(Ordering::Relaxed),
            datagram_bytes_sent: SENT.datagram_bytes.load(Ordering::Relaxed),
            datagrams_received: RECEIVED.datagrams.load(Ordering::Relaxed),
            datagrams_sent: SENT.datagrams.load(Ordering::Relaxed),
            frame_bytes_received: RECEIVED.frame_bytes.load(Ordering::Relaxed),
            frame_bytes_sent: SENT.frame_bytes.load(Ordering::Relaxed),
        }
    }
}

/// Counters of one direction.
pub(crate) struct Direction {
    datagram_bytes: AtomicU64,
    datagrams: AtomicU64,
    frame_bytes: AtomicU64,
}

pub(crate) static RECEIVED: Direction = Direction::new();
pub(crate) static SENT: Direction = Direction::new();

impl Direction {
    const fn new() -> Self {
        Self {
            datagram_bytes: AtomicU64::new(0),
            datagrams: AtomicU64::new(0),
            frame_bytes: AtomicU64::new(0),
        }
    }

    pub(crate) fn count_datagram(&self, bytes: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.datagram_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_frame(&self, bytes: usize) {
        self.frame_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
