//! Entries of the simulated fleet, and what they exchange.

use almondwell_core::time_offset::TimeOffset;
use almondwell_core::usage::{Collector, Options, Receiver, Recorder};
use almondwell_schema::{Usage, UsageAck};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// What happens at a time, in milliseconds after the start.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The entry reaches the store but no other entry.
    CutOff(usize),
    /// The entry's process does not run for this many milliseconds; its socket receives.
    Freeze(usize, u64),
    /// The entry holds the lease from now on.
    Holder(usize),
    /// The entry's wall clock is off by this many milliseconds.
    Jump(usize, i64),
    /// The entry's process is killed.
    Kill(usize),
    /// All processes are killed, and new ones started half a second later.
    KillAll,
    /// Share of datagrams that are lost.
    Loss(f64),
    /// Share of datagrams that arrive twice.
    Repeats(f64),
    /// The entry's process is started anew.
    Restart(usize),
}

#[derive(Clone, Debug)]
pub(super) enum Packet {
    Ack(UsageAck),
    Digest {
        wall_time: Duration,
        holder: (usize, u64),
        is_new: bool,
    },
    Usage(Usage),
}

pub(super) struct Process {
    pub(super) collector: Collector,
    pub(super) holder: (usize, u64),
    pub(super) offset: TimeOffset,
    pub(super) recorder: Recorder,
    pub(super) started_at: Duration,
    pub(super) true_offset: Duration,
}

pub(super) struct Entry {
    /// True time at which its boot-time clock was 0.
    pub(super) booted_at: Duration,
    pub(super) frozen_until: Duration,
    pub(super) inbox: Vec<(usize, Packet)>,
    pub(super) is_cut_off: bool,
    pub(super) process: Option<Process>,
    pub(super) wall_error_ms: i64,
}

pub(super) fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).unwrap();
    (Ipv4Addr::LOCALHOST, port).into()
}

pub(super) fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

pub(super) fn options() -> Options {
    Options::default()
}

pub(super) fn receiver((index, number): (usize, u64)) -> Receiver {
    (address(index), number)
}

pub(super) fn shift(time: Duration, error_ms: i64) -> Duration {
    let error = Duration::from_millis(error_ms.unsigned_abs());
    if error_ms < 0 {
        time.saturating_sub(error)
    } else {
        time + error
    }
}
