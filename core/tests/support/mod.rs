//! Helpers for the tests of the decision logic.

use almondwell_core::{Offer, Queue, Reservation};
use std::time::Duration;

/// Defines a test for each case.
#[macro_export]
macro_rules! cases {
    ($($name:ident = $test:expr;)*) => {
        $(#[test]
        fn $name() {
            $test;
        })*
    };
}

/// A reservation of tier `tier` by `workspace`, with an hour left and ten seconds to its target.
#[allow(dead_code, reason = "not every test file reserves")]
pub fn reservation(request: u128, tier: u8, workspace: &str) -> Reservation<()> {
    Reservation {
        class: format!("tier{tier}").into(),
        copies: 1,
        from: (),
        left: Duration::from_hours(1),
        priority: 0,
        request,
        share: 1,
        target: Duration::from_secs(10),
        tier,
        workspace: workspace.into(),
    }
}

/// Starts all requests that are offered a slot; returns their offers.
#[allow(dead_code, reason = "not every test file starts requests")]
pub fn start_all(queue: &mut Queue<()>, now: Duration) -> Vec<Offer<()>> {
    let mut offers = Vec::new();
    while let Some(offer) = queue.next(now) {
        assert_eq!(queue.start(now, offer.ticket, offer.request), Ok(()));
        offers.push(offer);
    }
    offers
}
