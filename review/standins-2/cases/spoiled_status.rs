//! An engine spoils some of its answers: the digits of the status become zeros, so that the bytes are no response.

use super::{MACHINE, ledger_deployment, raw};
use crate::engine;
use crate::http;
use crate::record::Record;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Clients, and bookings that each of them sends.
const CLIENTS: usize = 6;
const BOOKINGS: usize = 100;
/// One in so many answers of the faulty engine, which is one of three, is spoiled.
const SPOILED_EVERY: usize = 40;

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let count = AtomicUsize::new(0);
    let faulty: engine::Serve = Arc::new(move |mut stream, request| {
        thread::sleep(Duration::from_millis(10));
        let headers = engine::headers(request);
        let is_spoiled = has_trouble
            && count.fetch_add(1, Ordering::Relaxed) % SPOILED_EVERY == SPOILED_EVERY - 1;
        if is_spoiled {
            stream.write_all(
                format!("HTTP/1.1 000 \r\n{headers}Content-Length: 2\r\n\r\n\0\0").as_bytes(),
            )?;
        } else {
            http::answer(stream, "200 OK", &headers, &[b'x'; 800])?;
        }
        Ok(true)
    });
    let router = ledger_deployment(MACHINE, faulty)?;
    let (router, record) = (&router, &record);
    let callers = router.callers;
    let (answered, invalid) = (&AtomicUsize::new(0), &AtomicUsize::new(0));
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || {
                for index in 0..BOOKINGS {
                    let attempt = format!("booking-{client}-{index}");
                    let Ok(bytes) = raw(callers, &attempt, "POST", "/book/1") else { continue };
                    let text = String::from_utf8_lossy(&bytes);
                    if text.lines().next().is_none_or(is_status_line) {
                        answered.fetch_add(1, Ordering::Relaxed);
                    } else {
                        invalid.fetch_add(1, Ordering::Relaxed);
                        record.add(&format!("{attempt}: the client gets bytes that are no answer in the protocol: {text:?}"));
                    }
                }
            });
        }
    });
    let (answered, invalid) = (
        answered.load(Ordering::Relaxed),
        invalid.load(Ordering::Relaxed),
    );
    record.add(&format!(
        "{} bookings sent, {answered} answered in the protocol, {invalid} with other bytes",
        CLIENTS * BOOKINGS
    ));
    Ok(invalid > 0)
}

/// Whether `line` is a status line of HTTP/1.1, whose status has three digits and is at least 100.
fn is_status_line(line: &str) -> bool {
    let status = line
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.split(' ').next());
    status.is_some_and(|status| {
        status.len() == 3
            && status
                .parse::<u16>()
                .is_ok_and(|status| (100..600).contains(&status))
    })
}
