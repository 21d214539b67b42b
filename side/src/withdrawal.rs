//! Takes a side out of service: it grants nothing more and tells its entries.

use crate::side::Side;
use crate::{announcement, control};
use almondwell_schema::Reason;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Refuses what waits and tells all entries; what runs goes on.
pub(crate) async fn run(side: &Side) {
    if side.leaving.swap(true, Ordering::AcqRel) {
        return;
    }
    let waiting = side.queue().leave();
    for reservation in waiting {
        let (request, from) = (reservation.request, reservation.from);
        control::refuse(side, request, Reason::Leaving, Duration::ZERO, from).await;
    }
    announcement::run(side).await;
}
