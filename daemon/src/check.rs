//! Validation of settings beyond the syntax of each value: ranges, and conflicts between keys.

use almondwell_schema::{EntrySettings, RouterSettings, Settings, SideSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// Memory that a body of the maximum length takes with its copies; with a lower limit, such a body
/// would always be refused.
const MIN_BODY_MEMORY_BYTES: u64 = 16 << 20;
/// Memory of which the router's share for clients holds two bodies of the usual maximum length, 4 MiB.
const MIN_MEMORY_MB: u32 = 22;
/// Descriptors that leave a router some for clients, beside the 300 that it keeps for other uses.
const MIN_DESCRIPTORS: u32 = 400;
const MIN_FAST_WINDOW: Duration = Duration::from_secs(1);
/// A shorter lease leaves no time for a renewal over a slow store, or for a call to the provider.
const MIN_LEASE: Duration = Duration::from_millis(500);
/// Shorter windows would be reported more often than the entries exchange their counts.
const MIN_USAGE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum ratio of `slow_window` to `fast_window`; bounds the buckets that an entry keeps.
const MAX_WINDOW_RATIO: u32 = 288;

/// A setting whose value is out of range or conflicts with another setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Invalid {
    /// Key of the setting.
    pub key: &'static str,
    /// What was expected, such as `expected 1 or more`.
    pub message: Box<str>,
}

/// Settings that can be validated once all keys are set.
pub trait Check: Settings {
    /// Returns all invalid settings; empty when the settings are valid.
    fn check(&self) -> Vec<Invalid>;
}

impl Check for EntrySettings {
    fn check(&self) -> Vec<Invalid> {
        let mut validator = Validator::default();
        validator.check_addresses(&[
            ("callers", self.callers),
            ("control", self.control),
            ("admin", self.admin),
        ]);
        validator.check_secret(&self.secret, self.control);
        validator.require("id", !self.id.is_empty(), "expected a name");
        validator.require("samples", self.samples > 0, "expected 1 or more");
        validator.require("refresh", !self.refresh.is_zero(), "expected more than 0s");
        validator.require("connections", self.connections > 0, "expected 1 or more");
        validator.require(
            "head_timeout",
            !self.head_timeout.is_zero(),
            "expected more than 0s",
        );
        validator.require(
            "body_timeout",
            !self.body_timeout.is_zero(),
            "expected more than 0s",
        );
        validator.require(
            "body_memory",
            self.body_memory >= MIN_BODY_MEMORY_BYTES,
            &format!("expected {MIN_BODY_MEMORY_BYTES} bytes or more"),
        );
        validator.require(
            "fast_window",
            self.fast_window >= MIN_FAST_WINDOW,
            "expected 1s or more",
        );
        validator.require(
            "slow_window",
            self.slow_window >= self.fast_window,
            "expected a window no shorter than `fast_window`",
        );
        validator.require(
            "slow_window",
            self.slow_window <= self.fast_window.saturating_mul(MAX_WINDOW_RATIO),
            &format!("expected at most {MAX_WINDOW_RATIO} times `fast_window`"),
        );
        validator.require(
            "grace",
            self.grace.is_zero() || self.grace > self.unready,
            "expected 0s, or more than `unready`",
        );
        validator.invalid
    }
}

impl Check for RouterSettings {
    fn check(&self) -> Vec<Invalid> {
        let mut validator = Validator::default();
        validator.check_addresses(&[
            ("callers", self.callers),
            ("ready", self.ready),
            ("control", self.control),
            ("admin", self.admin),
        ]);
        validator.require("id", !self.id.is_empty(), "expected a name");
        validator.require("connections", self.connections > 0, "expected 1 or more");
        validator.require("contact", !self.contact.is_zero(), "expected more than 0s");
        validator.require("drain", !self.drain.is_zero(), "expected more than 0s");
        validator.require("max_answer", self.max_answer > 0, "expected 1 or more");
        validator.require(
            "memory",
            self.memory == 0 || self.memory >= MIN_MEMORY_MB,
            &format!("expected 0, or {MIN_MEMORY_MB} or more"),
        );
        validator.require(
            "descriptors",
            self.descriptors == 0 || self.descriptors >= MIN_DESCRIPTORS,
            &format!("expected 0, or {MIN_DESCRIPTORS} or more"),
        );
        validator.require("grace", !self.grace.is_zero(), "expected more than 0s");
        validator.require(
            "retry_window",
            !self.retry_window.is_zero(),
            "expected more than 0s",
        );
        for duty in &self.duties {
            let message = format!("expected metering or autoscale instead of `{duty}`");
            let is_known = matches!(&**duty, "metering" | "autoscale");
            validator.require("duties", is_known, &message);
        }
        validator.require(
            "duty_rate",
            self.duty_rate.value() > 0.0,
            "expected more than 0",
        );
        validator.require(
            "lease",
            self.lease >= MIN_LEASE,
            &format!("expected {MIN_LEASE:?} or more"),
        );
        let window = self.usage_window;
        validator.require(
            "usage_window",
            window >= MIN_USAGE_WINDOW && window.subsec_nanos().is_multiple_of(1_000_000),
            &format!("expected whole milliseconds, {MIN_USAGE_WINDOW:?} or more"),
        );
        validator.require(
            "usage_delay",
            !self.usage_delay.is_zero(),
            "expected more than 0s",
        );
        for zone in &self.zones {
            let message = format!("expected ZONE=REGION instead of `{zone}`");
            validator.require("zones", zone.contains('='), &message);
        }
        validator.invalid
    }
}

impl Check for SideSettings {
    fn check(&self) -> Vec<Invalid> {
        let mut validator = Validator::default();
        validator.check_addresses(&[
            ("control", self.control),
            ("admin", self.admin),
            ("upstream", self.upstream),
        ]);
        validator.check_secret(&self.secret, self.control);
        validator.require("id", !self.id.is_empty(), "expected a name");
        validator.require(
            "pool",
            !self.pool.is_empty(),
            "expected a pool that service files name",
        );
        validator.require("places", self.places > 0, "expected 1 or more");
        validator.require("backlog", self.backlog > 0, "expected 1 or more");
        validator.require("connections", self.connections > 0, "expected 1 or more");
        validator.invalid
    }
}

/// Collects the invalid settings of one check.
#[derive(Default)]
struct Validator {
    invalid: Vec<Invalid>,
}

impl Validator {
    fn require(&mut self, key: &'static str, is_met: bool, message: &str) {
        if !is_met {
            self.invalid.push(Invalid {
                key,
                message: message.into(),
            });
        }
    }

    fn check_addresses(&mut self, addresses: &[(&'static str, SocketAddr)]) {
        for (index, (key, address)) in addresses.iter().enumerate() {
            self.require(key, address.port() > 0, "expected a port other than 0");
            for (other_key, other_address) in &addresses[..index] {
                let message = format!("expected an address other than that of `{other_key}`");
                self.require(key, !conflicts(*address, *other_address), &message);
            }
        }
    }

    fn check_secret(&mut self, secret: &str, control: SocketAddr) {
        self.require(
            "secret",
            !secret.is_empty() || control.ip().is_loopback(),
            "expected a key shared by all processes, since `control` is not a loopback address",
        );
    }
}

/// Whether both addresses cannot be bound at once; an unspecified IP address covers all others.
fn conflicts(a: SocketAddr, b: SocketAddr) -> bool {
    let is_same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && is_same_ip
}
