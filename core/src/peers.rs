//! The other entries that this one knows, with the last message from each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the gossip between entries.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time without a message after which an entry is dropped. It spans several gossip rounds, since each
    /// entry sends to only a few others per round.
    pub expiry: Duration,
    /// Number of entries that are sent to in one round, so that an entry's traffic does not grow with
    /// the number of entries.
    pub fanout: usize,
    /// Number of addresses of other entries in one message, which has to fit into a datagram.
    pub hints: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            expiry: Duration::from_secs(20),
            fanout: 3,
            hints: 4,
        }
    }
}

/// The last message from an entry.
#[derive(Clone, Debug)]
struct Message<T> {
    received_at: Duration,
    content: T,
}

/// Entries by address, with the last message of type `T` from each.
#[derive(Clone, Debug)]
pub struct Peers<T> {
    /// Addresses to send to from which no message has arrived, with the time of the hint.
    hints: BTreeMap<SocketAddr, Duration>,
    options: Options,
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    messages: BTreeMap<SocketAddr, Message<T>>,
}

impl<T> Peers<T> {
    /// Creates a set that knows only the seeds; `own` is this entry's address.
    pub fn new(options: Options, own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            hints: BTreeMap::new(),
            options,
            own,
            seeds,
            messages: BTreeMap::new(),
        }
    }

    /// Records a message from the entry at `from`; returns whether the entry was unknown.
    pub fn record_message(&mut self, now: Duration, from: SocketAddr, content: T) -> bool {
        self.expire(now);
        if from == self.own {
            return false;
        }
        self.messages
            .insert(
                from,
                Message {
                    received_at: now,
                    content,
                },
            )
            .is_none()
    }

    /// Adds addresses of entries that another entry knows.
    pub fn add_hints(&mut self, now: Duration, addresses: &[SocketAddr]) {
        for address in addresses {
            if *address != self.own && !self.messages.contains_key(address) {
                self.hints.insert(*address, now);
            }
        }
    }

    /// Number of live entries, including this one.
    pub fn count(&mut self, now: Duration) -> usize {
        self.expire(now);
        self.messages.len() + 1
    }

    /// The last message of each live entry, with its age.
    pub fn messages(&self, now: Duration) -> impl Iterator<Item = (Duration, &T)> {
        self.messages
            .values()
            .map(move |message| (now.saturating_sub(message.received_at), &message.content))
    }

    /// Addresses of the live entries, this one excluded.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.messages.keys().copied()
    }

    /// Addresses of other entries that a message names, so that its receiver learns of them.
    pub fn hints(&self, _draw: impl FnMut(usize) -> usize) -> Vec<SocketAddr> {
        self.addresses().take(self.options.hints).collect()
    }

    /// Addresses to send to in this round; `draw` returns a random number below its argument.
    pub fn gossip_targets(
        &mut self,
        now: Duration,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Vec<SocketAddr> {
        self.expire(now);
        let mut addresses: Vec<_> = self
            .messages
            .keys()
            .chain(self.hints.keys())
            .chain(&self.seeds)
            .copied()
            .filter(|address| *address != self.own)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        while addresses.len() > self.options.fanout {
            addresses.swap_remove(draw(addresses.len()));
        }
        addresses
    }

    fn expire(&mut self, now: Duration) {
        let expiry = self.options.expiry;
        let is_fresh = |at: Duration| now.saturating_sub(at) < expiry;
        self.messages
            .retain(|_, message| is_fresh(message.received_at));
        let messages = &self.messages;
        self.hints
            .retain(|address, at| is_fresh(*at) && !messages.contains_key(address));
    }
}
