//! Transfers that go on as long as bytes arrive.

use almondwell_core::progress::{MIN_BYTES, Progress};

#[test]
fn a_slow_transfer_goes_on() {
    let mut progress = Progress::new(100);
    for check in 1..=60 {
        assert!(progress.has_advanced(100 + check * MIN_BYTES));
    }
}

/// Guards against a sender that holds a transfer with single bytes.
#[test]
fn a_transfer_of_single_bytes_ends() {
    let mut progress = Progress::default();
    assert!(progress.has_advanced(MIN_BYTES));
    assert!(!progress.has_advanced(MIN_BYTES + 1));
}
