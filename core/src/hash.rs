//! Hashes that all processes agree on.

/// First bytes of the hash of `parts`, each with its length, so that no two lists of parts run together.
pub fn bytes<const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; N];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..N]);
    first
}

/// A hash as a number.
pub fn number(parts: &[&[u8]]) -> u64 {
    u64::from_le_bytes(bytes(parts))
}
