//! The part of a large pool that one entry deals with.

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
    let mut hasher = blake3::Hasher::new();
    hasher.update(owner.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    let mut first = [0; size_of::<u64>()];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<u64>()]);
    u64::from_le_bytes(first)
}
