//! Stable hashes, equal in all processes.

/// First `N` bytes of the BLAKE3 hash of `parts`; `N` is at most 32.
///
/// Each part is hashed with its length, so that different lists with the same concatenation differ.
pub fn bytes<const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        update(&mut hasher, [*part].into_iter());
    }
    finish(&hasher)
}

/// As [`number`], with a last part that consists of `pieces`.
pub fn number_with_pieces<'a>(
    parts: &[&[u8]],
    pieces: impl Iterator<Item = &'a [u8]> + Clone,
) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        update(&mut hasher, [*part].into_iter());
    }
    update(&mut hasher, pieces);
    u64::from_le_bytes(finish(&hasher))
}

fn update<'a>(hasher: &mut blake3::Hasher, pieces: impl Iterator<Item = &'a [u8]> + Clone) {
    let length: usize = pieces.clone().map(<[u8]>::len).sum();
    hasher.update(&(length as u64).to_le_bytes());
    for piece in pieces {
        hasher.update(piece);
    }
}

fn finish<const N: usize>(hasher: &blake3::Hasher) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..N]);
    bytes
}

/// First 8 bytes of the hash of `parts` as a little-endian number.
pub fn number(parts: &[&[u8]]) -> u64 {
    u64::from_le_bytes(bytes(parts))
}
