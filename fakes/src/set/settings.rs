//! Settings of a set.

use super::services::{DRAFTING, ORDERS};
use std::time::Duration;

/// Sizes, times and flags of a set.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Batch limit of each engine, and number of slots of its side.
    pub batch: u32,
    /// Number of engines, each with its own side.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// Additional flags of each entry, without the leading dashes.
    pub entry_flags: Vec<(String, String)>,
    /// Whether engines reject requests with a stale fencing token.
    pub fenced: bool,
    /// Time until a change of the instance list becomes visible.
    pub lag: Duration,
    /// Number of order services, each with its own side.
    pub order_services: usize,
    /// Prefill time of an engine.
    pub prefill: Duration,
    /// Whether the platform, each side and each upstream is reached through a proxy.
    pub proxied: bool,
    /// Seed of the jitter and drops of the proxies.
    pub seed: u64,
    /// Contents of the service files.
    pub services: Vec<String>,
    /// Additional flags of each side, without the leading dashes.
    pub side_flags: Vec<(String, String)>,
    /// Time per output token of an engine.
    pub token: Duration,
    /// Duration of a call to an order service.
    pub work: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch: 8,
            engines: 2,
            entries: 2,
            entry_flags: Vec::new(),
            fenced: false,
            lag: Duration::ZERO,
            order_services: 1,
            prefill: Duration::from_millis(10),
            proxied: false,
            seed: 0,
            services: vec![DRAFTING.to_string(), ORDERS.to_string()],
            side_flags: Vec::new(),
            token: Duration::from_millis(2),
            work: Duration::from_millis(5),
        }
    }
}
