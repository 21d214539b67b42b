//! The subset of a large pool that one entry uses.

use crate::hash;

/// Selects up to `limit` of `items` by rendezvous hashing on `owner` and each item's name.
///
/// Each owner gets its own subset; adding or removing one name changes at most one member of it.
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

/// Rendezvous hash of `name` for `owner`; the same in every process.
pub fn weight(owner: &str, name: &str) -> u64 {
    hash::number(&[owner.as_bytes(), name.as_bytes()])
}
