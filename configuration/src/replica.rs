//! A process's replica of the configuration.

use crate::Node;
use almondwell_schema::{Config, Version};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A configuration as published: a versioned object of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    /// Content of the object: a [`Config`] as JSON.
    pub bytes: Arc<[u8]>,
    /// Version of the object; 0 while no configuration is known.
    pub version: Version,
}

/// The newest configuration that a process has adopted.
#[derive(Debug, Default)]
pub struct Replica {
    current: Mutex<Document>,
    /// Whether a fetch from a peer is running; only one runs at a time.
    pub(crate) is_fetching: AtomicBool,
    version: AtomicU64,
}

impl Replica {
    /// Returns the newest configuration.
    pub fn current(&self) -> Document {
        self.lock().clone()
    }

    /// Version of the newest configuration; 0 while none is known. Takes no lock.
    pub fn version(&self) -> Version {
        self.version.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, Document> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adopts the configuration `bytes` at `node` if `version` is higher than the current one; returns
/// whether it was adopted. A configuration that cannot be decoded is logged and skipped.
pub(crate) fn adopt_if_newer(node: &impl Node, version: Version, bytes: &[u8]) -> bool {
    let replica = node.replica();
    // Locked until the configuration is adopted, so that concurrent calls adopt versions in order.
    let mut current = replica.lock();
    if version <= current.version {
        return false;
    }
    let config: Config = match serde_json::from_slice(bytes) {
        Ok(config) => config,
        Err(error) => {
            spdlog::error!("cannot decode the configuration: {}", error, kv: { version = version });
            return false;
        }
    };
    let author = config.author.clone();
    node.adopt(version, config);
    *current = Document {
        bytes: bytes.into(),
        version,
    };
    replica.version.store(version, Ordering::Release);
    spdlog::info!("configuration adopted", kv: { version = version, author = author.as_ref() });
    true
}
