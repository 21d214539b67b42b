//! Leases of the holders of stored work.

use almondwell_core::stored::{Holders, LEASE_TIMEOUT};
use std::time::Duration;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn observe(holders: &mut Holders, seconds: u64, version: u64) {
    holders.observe(at(seconds), [("entry", version)].into_iter());
}

#[test]
fn a_lease_lasts_while_its_holder_renews_it() {
    let mut holders = Holders::default();
    for seconds in 0..60 {
        observe(&mut holders, seconds, seconds);
        assert!(!holders.is_expired(at(seconds), "entry"));
    }
}

#[test]
fn a_lease_expires_after_its_holder_stops_renewing_it() {
    let mut holders = Holders::default();
    let lease = LEASE_TIMEOUT.as_secs();
    for seconds in 0..=lease {
        observe(&mut holders, seconds, 1);
        assert_eq!(holders.is_expired(at(seconds), "entry"), seconds >= lease);
    }
}

#[test]
fn leases_restart_after_an_outage() {
    let mut holders = Holders::default();
    observe(&mut holders, 0, 1);
    observe(&mut holders, 600, 1);
    assert!(!holders.is_expired(at(600), "entry"));
}

#[test]
fn a_holder_without_a_heartbeat_counts_as_expired() {
    assert!(Holders::default().is_expired(at(0), "entry"));
}
