//! Stable hashes, equal in all processes.

/// First `N` bytes of the BLAKE3 hash of `parts`; `N` is at most 32.
///
/// Each part is hashed with its length, so that different lists with the same concatenation differ.
pub fn bytes<const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; N];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..N]);
    bytes
}

/// First 8 bytes of the hash of `parts` as a little-endian number.
pub fn number(parts: &[&[u8]]) -> u64 {
    u64::from_le_bytes(bytes(parts))
}
