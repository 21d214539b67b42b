//! Sides of a pool, grouped by whether they are in the entry's region.

use crate::sampler::sample;
use rand::Rng;
use std::collections::BTreeMap;

/// Points of each side on the consistent-hashing ring that maps prefixes to sides.
const SIDE_POINTS: u64 = 16;

/// A side with its location relative to the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Site<S> {
    /// Whether the side is in the entry's region.
    pub is_local: bool,
    /// The side.
    pub side: S,
}

/// Sides of a pool: those in the entry's region, those in other regions, and the consistent-hashing
/// ring of the former.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory<S> {
    remote: Vec<S>,
    local: Vec<S>,
    ring: BTreeMap<u64, S>,
}

impl<S> Default for Directory<S> {
    fn default() -> Self {
        Self {
            remote: Vec::new(),
            local: Vec::new(),
            ring: BTreeMap::new(),
        }
    }
}

impl<S: Copy + Ord> Directory<S> {
    /// Creates a directory of `sites`; `hash` places sides on the ring and must be the same at all entries.
    pub fn new(sites: &[Site<S>], hash: impl Fn(S) -> u64) -> Self {
        let in_region = |is_local| {
            sites
                .iter()
                .filter(move |site| site.is_local == is_local)
                .map(|site| site.side)
        };
        let local: Vec<_> = in_region(true).collect();
        let remote: Vec<_> = in_region(false).collect();
        let ring = local
            .iter()
            .flat_map(|side| (0..SIDE_POINTS).map(|point| (mix(hash(*side) ^ mix(point)), *side)))
            .collect();
        Self {
            remote,
            local,
            ring,
        }
    }

    /// Whether the directory has no sides.
    pub fn is_empty(&self) -> bool {
        self.remote.is_empty() && self.local.is_empty()
    }

    /// Whether the directory has `side`.
    pub fn contains(&self, side: S) -> bool {
        self.local.contains(&side) || self.remote.contains(&side)
    }

    /// Number of sides in the entry's region.
    pub fn local_len(&self) -> usize {
        self.local.len()
    }

    /// Number of sides in all regions.
    pub fn len(&self) -> usize {
        self.remote.len() + self.local.len()
    }

    /// The side in the entry's region that requests with `prefix` prefer; 0 stands for no prefix.
    pub fn home(&self, prefix: u64) -> Option<S> {
        if prefix == 0 {
            return None;
        }
        let after = self.ring.range(mix(prefix)..).next();
        let (_, side) = after.or_else(|| self.ring.first_key_value())?;
        Some(*side)
    }

    /// Up to `count` sides of the entry's region for which `is_open` holds, in random order.
    pub fn local(
        &self,
        random: &mut impl Rng,
        count: usize,
        is_open: impl Fn(S) -> bool,
    ) -> Vec<S> {
        pick(&self.local, random, count, is_open)
    }

    /// Up to `count` sides of other regions for which `is_open` holds, in random order.
    pub fn remote(
        &self,
        random: &mut impl Rng,
        count: usize,
        is_open: impl Fn(S) -> bool,
    ) -> Vec<S> {
        pick(&self.remote, random, count, is_open)
    }
}

/// Random sample of up to `count` of `sides` for which `is_open` holds.
///
/// Checks all sides only if some of the first `count` drawn are not open.
fn pick<S: Copy>(
    sides: &[S],
    random: &mut impl Rng,
    count: usize,
    is_open: impl Fn(S) -> bool,
) -> Vec<S> {
    let drawn = sample(random, sides.len(), count);
    let picked: Vec<_> = drawn
        .into_iter()
        .map(|index| sides[index])
        .filter(|side| is_open(*side))
        .collect();
    if picked.len() == count.min(sides.len()) {
        return picked;
    }
    let mut all = sample(random, sides.len(), sides.len());
    all.retain(|index| is_open(sides[*index]));
    all.truncate(count);
    all.into_iter().map(|index| sides[index]).collect()
}

/// Finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
