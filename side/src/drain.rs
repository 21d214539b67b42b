//! Takes a side out of service: it stops granting slots and informs its entries.

use crate::side::Side;
use crate::{announcement, control};
use almondwell_schema::Reason;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Refuses waiting reservations and informs all entries; running calls continue. Does nothing if the
/// side is already draining.
pub(crate) async fn start(side: &Side) {
    if side.is_draining.swap(true, Ordering::AcqRel) {
        return;
    }
    let waiting = side.queue().close();
    for reservation in waiting {
        let (request, from) = (reservation.request, reservation.from);
        control::refuse(side, request, Reason::Leaving, Duration::ZERO, from).await;
    }
    announcement::run(side).await;
}
