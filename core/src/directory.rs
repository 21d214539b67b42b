//! Sides of a pool as an entry sees them from its region.

use crate::sampler::sample;
use rand::Rng;
use std::collections::BTreeMap;

/// Points of each side on the ring that places prefixes.
const POINTS: u64 = 16;

/// A side and whether it is in the entry's region.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Site<S> {
    /// Whether the side is in the entry's region.
    pub is_near: bool,
    /// The side.
    pub side: S,
}

/// Sides of a pool, those in the entry's region apart.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory<S> {
    far: Vec<S>,
    near: Vec<S>,
    ring: BTreeMap<u64, S>,
}

impl<S> Default for Directory<S> {
    fn default() -> Self {
        Self {
            far: Vec::new(),
            near: Vec::new(),
            ring: BTreeMap::new(),
        }
    }
}

impl<S: Copy + Ord> Directory<S> {
    /// A directory of `sites`; `hash` spreads sides over the ring and is the same at all entries.
    pub fn new(sites: &[Site<S>], hash: impl Fn(S) -> u64) -> Self {
        let within = |is_near| {
            sites
                .iter()
                .filter(move |site| site.is_near == is_near)
                .map(|site| site.side)
        };
        let near: Vec<_> = within(true).collect();
        let far: Vec<_> = within(false).collect();
        let ring = near
            .iter()
            .flat_map(|side| (0..POINTS).map(|point| (mix(hash(*side) ^ mix(point)), *side)))
            .collect();
        Self { far, near, ring }
    }

    /// Whether no side is known.
    pub fn is_empty(&self) -> bool {
        self.far.is_empty() && self.near.is_empty()
    }

    /// Whether `side` is known.
    pub fn contains(&self, side: S) -> bool {
        self.near.contains(&side) || self.far.contains(&side)
    }

    /// Sides in the entry's region.
    pub fn near_len(&self) -> usize {
        self.near.len()
    }

    /// Sides in all regions.
    pub fn len(&self) -> usize {
        self.far.len() + self.near.len()
    }

    /// The side that requests with `prefix` share; 0 stands for no prefix.
    pub fn home(&self, prefix: u64) -> Option<S> {
        if prefix == 0 {
            return None;
        }
        let after = self.ring.range(mix(prefix)..).next();
        let (_, side) = after.or_else(|| self.ring.first_key_value())?;
        Some(*side)
    }

    /// Up to `count` sides of the entry's region for which `is_open` holds, in random order.
    pub fn near(&self, random: &mut impl Rng, count: usize, is_open: impl Fn(S) -> bool) -> Vec<S> {
        pick(&self.near, random, count, is_open)
    }

    /// Up to `count` sides of other regions for which `is_open` holds, in random order.
    pub fn far(&self, random: &mut impl Rng, count: usize, is_open: impl Fn(S) -> bool) -> Vec<S> {
        pick(&self.far, random, count, is_open)
    }
}

/// Looks at no more than `count` sides beyond those that are not open.
fn pick<S: Copy>(
    sides: &[S],
    random: &mut impl Rng,
    count: usize,
    is_open: impl Fn(S) -> bool,
) -> Vec<S> {
    let first = sample(random, sides.len(), count);
    let picked: Vec<_> = first
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
