//! One accepted request.

use almondwell_schema::{Class, Header, RequestId, Service, Workspace};
use std::sync::Arc;
use std::time::Duration;

/// One accepted request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Time on the entry's clock at which it arrived.
    pub(crate) arrived: Duration,
    pub(crate) body: Vec<u8>,
    pub(crate) class: Class,
    pub(crate) class_name: Box<str>,
    /// Time on the entry's clock after which it is given up.
    pub(crate) deadline: Duration,
    pub(crate) fingerprint: u64,
    pub(crate) headers: Vec<Header>,
    pub(crate) key: Option<Box<str>>,
    pub(crate) path: Box<str>,
    pub(crate) prefix: u64,
    pub(crate) request: RequestId,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Workspace,
    pub(crate) workspace_name: Box<str>,
}

/// First eight bytes of the hash of `bytes`.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; size_of::<u64>()];
    first.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
    u64::from_le_bytes(first)
}
