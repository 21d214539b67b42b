//! Sizes and times of a set.

use super::services::{DRAFTING, ORDERS};
use std::time::Duration;

/// Sizes and times of a set.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests an engine runs at once.
    pub batch: u32,
    /// Engines, one side each.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Flags added to each entry.
    pub entry_flags: Vec<(String, String)>,
    /// Whether engines refuse orders with an old fencing number.
    pub fenced: bool,
    /// Lag of the instance list.
    pub lag: Duration,
    /// Plain order desks, one side each.
    pub plains: usize,
    /// Time to an engine's first token.
    pub prefill: Duration,
    /// Whether a proxy stands before the platform, each side and each upstream.
    pub proxied: bool,
    /// Seed of the proxies.
    pub seed: u64,
    /// Service files, as text.
    pub services: Vec<String>,
    /// Flags added to each side.
    pub side_flags: Vec<(String, String)>,
    /// Time between an engine's tokens.
    pub token: Duration,
    /// Time of a plain call.
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
            plains: 1,
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
