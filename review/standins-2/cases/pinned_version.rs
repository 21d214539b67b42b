//! One client asks for a version of the weights that the engines don't have yet. Then other clients send ordinary requests.

use super::{MACHINE, deployment, ordinary, streamed};
use crate::record::Record;
use crate::router::is_ready;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Requests of the client that asks for another version; each may be sent to two engines.
const PINNED: usize = 6;
/// Time for which ordinary requests are sent, and the pause after each.
const OBSERVED: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(200);

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let (_store, router) = deployment(MACHINE)?;
    let before = streamed(router.callers, "before", "")?;
    record.add(&format!("ordinary stream before: {}", before.status()));
    if has_trouble {
        for index in 0..PINNED {
            let answer = streamed(
                router.callers,
                &format!("pinned-{index}"),
                "X-Almondwell-Expected-Version: 2\r\n",
            )?;
            record.add(&format!("request with X-Almondwell-Expected-Version: 2, while all engines have version 1: {}", answer.status()));
            thread::sleep(PAUSE);
        }
    }
    let (mut streams, mut served_streams, mut lookups, mut served_lookups) = (0, 0, 0, 0);
    let mut failures = Vec::new();
    let start = Instant::now();
    while start.elapsed() < OBSERVED {
        let attempt = format!("stream-{streams}");
        let status = streamed(router.callers, &attempt, "").map_or(0, |answer| answer.status());
        streams += 1;
        served_streams += usize::from(status == 200);
        if status != 200 {
            failures.push(format!("{attempt}: {status}"));
        }
        let answer = ordinary(
            router.callers,
            &format!("lookup-{lookups}"),
            "GET",
            "/look/1",
        );
        lookups += 1;
        served_lookups += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
        thread::sleep(PAUSE);
    }
    record.add(&format!(
        "in {OBSERVED:?} afterwards {served_streams} of {streams} ordinary streams and {served_lookups} of {lookups} lookups were served; \
         the machine says that it is ready: {}",
        is_ready(router.ready)
    ));
    record.add(&format!("not served: {}", failures.join(", ")));
    let share = |served: usize, asked: usize| served as f64 / asked.max(1) as f64;
    let all = share(served_streams + served_lookups, streams + lookups);
    Ok(share(served_streams, streams) < all / 4.0)
}
