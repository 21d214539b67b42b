//! Random sampling without replacement.

use rand::Rng;

/// Up to `count` distinct indexes below `total`, in random order.
pub fn sample(rng: &mut impl Rng, total: usize, count: usize) -> Vec<usize> {
    rand::seq::index::sample(rng, total, count.min(total)).into_vec()
}
