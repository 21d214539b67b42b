//! Authentication of messages with a shared key.

use crate::Error;

const CONTEXT: &str = "almondwell 2026-12 messages between processes";
const TAG: usize = 16;

/// Keyed hash that processes with the same secret append to each message.
#[derive(Clone)]
pub struct Seal {
    key: [u8; blake3::KEY_LEN],
}

impl Seal {
    /// Derives the key from the operators' secret.
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key(CONTEXT, secret.as_bytes()),
        }
    }

    /// Length of the tag in bytes.
    pub const fn overhead() -> usize {
        TAG
    }

    /// Appends the tag of `message`.
    pub fn close(&self, message: &mut Vec<u8>) {
        let hash = blake3::keyed_hash(&self.key, message);
        message.extend_from_slice(&hash.as_bytes()[..TAG]);
    }

    /// Checks the tag at the end of `sealed` and returns what stands before it.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], Error> {
        let Some(split) = sealed.len().checked_sub(TAG) else {
            return Err(Error::Forged);
        };
        let (message, tag) = sealed.split_at(split);
        let hash = blake3::keyed_hash(&self.key, message);
        let difference = hash.as_bytes()[..TAG]
            .iter()
            .zip(tag)
            .fold(0, |difference, (a, b)| difference | (a ^ b));
        if difference != 0 {
            return Err(Error::Forged);
        }
        Ok(message)
    }
}
