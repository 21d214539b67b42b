//! Message authentication with a shared key.

use crate::Error;

/// Context string of the key derivation; separates this key from other uses of the secret.
const KEY_CONTEXT: &str = "almondwell 2026-12 messages between processes";
/// Length of the tag: a keyed BLAKE3 hash, truncated.
const TAG_BYTES: usize = 16;

/// Appends an authentication tag to each message and verifies the tags of received messages.
///
/// Messages are not encrypted.
#[derive(Clone)]
pub struct Seal {
    key: [u8; blake3::KEY_LEN],
}

impl Seal {
    /// Derives the key from the setting `secret`, which all processes share.
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }

    /// Length of the tag in bytes.
    pub const fn tag_bytes() -> usize {
        TAG_BYTES
    }

    /// Appends the tag of `message`.
    pub fn append_tag(&self, message: &mut Vec<u8>) {
        let hash = blake3::keyed_hash(&self.key, message);
        message.extend_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    }

    /// Verifies the tag at the end of `sealed` and returns the message before it; fails with
    /// [`Error::Forged`] if the tag is missing or wrong.
    pub fn verify<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], Error> {
        let Some(split) = sealed.len().checked_sub(TAG_BYTES) else {
            return Err(Error::Forged);
        };
        let (message, tag) = sealed.split_at(split);
        let hash = blake3::keyed_hash(&self.key, message);
        // Compares all bytes, so that the time does not show how many of them match.
        let difference = hash.as_bytes()[..TAG_BYTES]
            .iter()
            .zip(tag)
            .fold(0, |difference, (a, b)| difference | (a ^ b));
        if difference != 0 {
            return Err(Error::Forged);
        }
        Ok(message)
    }
}
