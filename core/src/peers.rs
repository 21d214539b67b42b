//! The other entries that this one knows, with the last message from each.

use crate::hash;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the gossip between entries.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time after its start for which an entry, which knows only the seeds, gossips more often.
    pub discovery: Duration,
    /// Time between two rounds during discovery.
    pub discovery_period: Duration,
    /// Time without a message after which an entry is dropped. It spans several gossip rounds, since each
    /// entry sends to only a few others per round.
    pub expiry: Duration,
    /// Number of entries that are sent to in one round, so that an entry's traffic does not grow with
    /// the number of entries.
    pub fanout: usize,
    /// Number of addresses of other entries in one message, which has to fit into a datagram.
    pub hints: usize,
    /// Number of entries that keep what is not yet known widely.
    pub keepers: usize,
    /// Time between two rounds.
    pub period: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            discovery: Duration::from_secs(10),
            discovery_period: Duration::from_millis(250),
            expiry: Duration::from_secs(20),
            fanout: 3,
            hints: 40,
            keepers: 3,
            period: Duration::from_secs(1),
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
    /// Entries that sent a message or that others named, with the time of the last one.
    known: BTreeMap<SocketAddr, Duration>,
    options: Options,
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    messages: BTreeMap<SocketAddr, Message<T>>,
}

impl<T> Peers<T> {
    /// Creates a set that knows only the seeds; `own` is this entry's address.
    pub fn new(options: Options, own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            known: BTreeMap::new(),
            options,
            own,
            seeds,
            messages: BTreeMap::new(),
        }
    }

    /// Time until the next round, at `uptime` after the start.
    pub fn period(&self, uptime: Duration) -> Duration {
        if uptime < self.options.discovery {
            self.options.discovery_period
        } else {
            self.options.period
        }
    }

    /// Whether the entry at `address` is known, if only from others.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.known.contains_key(&address)
    }

    /// Records a message from the entry at `from`; returns whether it was the first one lately. It then needs a
    /// reply: in a large fleet few entries meet by chance, and a new one knows only the seeds.
    pub fn record_message(&mut self, now: Duration, from: SocketAddr, content: T) -> bool {
        if from == self.own {
            return false;
        }
        let message = Message {
            received_at: now,
            content,
        };
        self.known.insert(from, now);
        let previous = self.messages.insert(from, message);
        previous
            .is_none_or(|previous| now.saturating_sub(previous.received_at) >= self.options.expiry)
    }

    /// Adds addresses of entries that another entry knows.
    pub fn add_hints(&mut self, now: Duration, addresses: &[SocketAddr]) {
        for address in addresses {
            if *address != self.own {
                self.known.insert(*address, now);
            }
        }
    }

    /// Number of live entries, including this one and those known only from others.
    pub fn count(&mut self, now: Duration) -> usize {
        self.expire(now);
        self.known.len() + 1
    }

    /// The last message of each live entry, with its age.
    pub fn messages(&self, now: Duration) -> impl Iterator<Item = (Duration, &T)> {
        self.messages
            .values()
            .map(move |message| (now.saturating_sub(message.received_at), &message.content))
    }

    /// The last message of each entry by its address, without those that have expired by `now`.
    pub fn contents(&self, now: Duration) -> impl Iterator<Item = (SocketAddr, &T)> {
        let expiry = self.options.expiry;
        let is_fresh =
            move |message: &&Message<T>| now.saturating_sub(message.received_at) < expiry;
        self.messages
            .iter()
            .filter(move |(_, message)| is_fresh(message))
            .map(|(address, message)| (*address, &message.content))
    }

    /// Addresses of the live entries, this one excluded: those that sent a message, and those that others name.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.known.keys().copied()
    }

    /// Whether this entry is one of those that keep what is known of `key`.
    pub fn keeps(&self, key: u64) -> bool {
        self.ranked(key).contains(&self.own)
    }

    /// Addresses of the entries that keep what is known of `key`, without this one: those with the highest hashes, so
    /// that entries agree on them without an exchange.
    pub fn keepers(&self, key: u64) -> Vec<SocketAddr> {
        let mut keepers = self.ranked(key);
        keepers.retain(|address| *address != self.own);
        keepers
    }

    /// Place of this entry among those that keep what is known of `key`; that of one that does not keep it is the last.
    pub fn rank(&self, key: u64) -> usize {
        let ranked = self.ranked(key);
        let place = ranked.iter().position(|address| *address == self.own);
        place.unwrap_or(ranked.len())
    }

    fn ranked(&self, key: u64) -> Vec<SocketAddr> {
        let known = self.addresses().chain([self.own]);
        let mut keepers: Vec<_> = known
            .map(|address| (rendezvous(key, address), address))
            .collect();
        keepers.sort_unstable_by(|one, other| other.cmp(one));
        keepers.truncate(self.options.keepers);
        keepers.into_iter().map(|(_, address)| address).collect()
    }

    /// Addresses of other entries that a message names, so that its receiver learns of them: a random choice, since
    /// a fixed one would make all entries learn of the same few. `draw` returns a random number below its argument.
    ///
    /// Only entries that have sent a message themselves are named; those that left are then forgotten everywhere.
    pub fn hints(&self, draw: impl FnMut(usize) -> usize) -> Vec<SocketAddr> {
        sample(
            self.messages.keys().copied().collect(),
            self.options.hints,
            draw,
        )
    }

    /// Addresses to send to in this round; `draw` returns a random number below its argument.
    pub fn gossip_targets(
        &mut self,
        now: Duration,
        draw: impl FnMut(usize) -> usize,
    ) -> Vec<SocketAddr> {
        self.expire(now);
        let seeds: BTreeSet<_> = self.seeds.iter().copied().collect();
        let is_unknown = |seed: &SocketAddr| *seed != self.own && !self.known.contains_key(seed);
        let addresses = self
            .addresses()
            .chain(seeds.into_iter().filter(is_unknown))
            .collect();
        sample(addresses, self.options.fanout, draw)
    }

    fn expire(&mut self, now: Duration) {
        let expiry = self.options.expiry;
        let is_fresh = |at: Duration| now.saturating_sub(at) < expiry;
        self.messages
            .retain(|_, message| is_fresh(message.received_at));
        self.known.retain(|_, at| is_fresh(*at));
    }
}

fn rendezvous(key: u64, address: SocketAddr) -> u64 {
    hash::number(&[&key.to_le_bytes(), address.to_string().as_bytes()])
}

/// At most `count` of `addresses`, drawn at random.
fn sample(
    mut addresses: Vec<SocketAddr>,
    count: usize,
    mut draw: impl FnMut(usize) -> usize,
) -> Vec<SocketAddr> {
    let count = count.min(addresses.len());
    for index in 0..count {
        let other = index + draw(addresses.len() - index);
        addresses.swap(index, other);
    }
    addresses.truncate(count);
    addresses
}
