//! Random choice of a few candidates.

use rand::Rng;

/// Indexes of up to `count` different candidates out of `total`, in random order.
pub fn sample(random: &mut impl Rng, total: usize, count: usize) -> Vec<usize> {
    rand::seq::index::sample(random, total, count.min(total)).into_vec()
}
