//! The part of a large pool that one entry deals with.

use crate::hash;

/// Sorts `items` by a hash of `owner` and each item's name, and keeps the first `limit`.
///
/// Each owner gets a subset of its own, and a name that comes or goes changes at most one place of
/// it (rendezvous hashing).
pub fn subset<T>(
    owner: &str,
    mut items: Vec<T>,
    limit: usize,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    if items.len() <= limit {
        return items;
    }
    items.sort_by_cached_key(|item| weight(owner, name(item)));
    items.truncate(limit);
    items
}

/// Weight of `name` for `owner`; the same in every process.
pub fn weight(owner: &str, name: &str) -> u64 {
    hash::number(&[owner.as_bytes(), name.as_bytes()])
}
