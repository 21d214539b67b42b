//! One process's copy of the configuration.

use crate::Node;
use almondwell_schema::{Config, Version};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A configuration as published.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// Bytes of the object.
    pub bytes: Arc<[u8]>,
    /// Version of the object; 0 before the first.
    pub version: Version,
}

/// The newest configuration that a process has seen.
#[derive(Debug, Default)]
pub struct Replica {
    held: Mutex<Held>,
    /// Whether a fetch from a peer is under way.
    pub(crate) is_fetching: AtomicBool,
    version: AtomicU64,
}

impl Replica {
    /// The newest configuration.
    pub fn held(&self) -> Held {
        self.lock().clone()
    }

    /// Version of the newest configuration; 0 before the first.
    pub fn version(&self) -> Version {
        self.version.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Puts `bytes` in force at `node` if `version` is above the one it holds; returns whether it did.
pub(crate) fn offer(node: &impl Node, version: Version, bytes: &[u8]) -> bool {
    let replica = node.replica();
    // Held over the adoption, so that two offers cannot overtake each other.
    let mut held = replica.lock();
    if version <= held.version {
        return false;
    }
    let config: Config = match serde_json::from_slice(bytes) {
        Ok(config) => config,
        Err(error) => {
            spdlog::error!("configuration does not decode: {}", error, kv: { version = version });
            return false;
        }
    };
    let author = config.author.clone();
    node.adopt(version, config);
    *held = Held {
        bytes: bytes.into(),
        version,
    };
    replica.version.store(version, Ordering::Release);
    spdlog::info!("configuration in force", kv: { version = version, author = author.as_ref() });
    true
}
