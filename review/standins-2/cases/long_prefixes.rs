//! Clients send heads of legal length that list many parts of a prompt, and stop a byte short of the end of their bodies.

use super::{MACHINE, Watch, deployment, is_fault};
use crate::record::Record;
use crate::router::{Router, Supervisor, is_ready};
use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Limit of the manifest on a request's head, `max_header_bytes`.
const MAX_HEADER_BYTES: usize = 16_384;
/// Bytes of a body; the limit of the manifest is 4 MiB.
const BODY_BYTES: usize = 17_000;
/// Clients; a machine with 4,100 descriptors serves 1,900.
const CLIENTS: usize = 1_800;
/// Crowds at each machine, one after the other.
const ROUNDS: usize = 3;
/// Time for which a crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(6);
const READY_LIMIT: Duration = Duration::from_secs(10);
const OBSERVED: Duration = Duration::from_secs(20);

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let (store, router) = deployment(MACHINE)?;
    let machines = [router, Router::start(store.address, MACHINE)?].map(Supervisor::start);
    let watch = Watch::start(&machines, OBSERVED);
    for round in 1..=ROUNDS {
        for (index, machine) in machines.iter().enumerate().filter(|_| has_trouble) {
            let before = machine.ends();
            let crowd = crowd(machine);
            let start = Instant::now();
            while machine.ends() == before && start.elapsed() < CROWD_TIME {
                thread::sleep(Duration::from_millis(20));
            }
            record.add(&format!(
                "crowd {round} at machine {index}: {} clients sent a head of up to {MAX_HEADER_BYTES} bytes and all but one of {BODY_BYTES} bytes of a body; \
                 the process ended: {}",
                crowd.len(),
                machine.ends() > before
            ));
            drop(crowd);
            while !is_ready(machine.ready) && start.elapsed() < READY_LIMIT {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
    watch.finish(&record);
    Ok(is_fault(&machines, MACHINE, &record))
}

/// Clients whose requests are unfinished; fewer if the process ends meanwhile.
fn crowd(machine: &Supervisor) -> Vec<TcpStream> {
    let connect = |index: usize| -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(machine.callers)?;
        stream.set_write_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(&unfinished_request(index))?;
        Ok(stream)
    };
    (0..CLIENTS)
        .map_while(|index| connect(index).ok())
        .collect()
}

/// A request whose prompt consists of as many parts of one token as its head may list, each with its own identifier.
fn unfinished_request(index: usize) -> Vec<u8> {
    let start = format!(
        "POST /stream/{index} HTTP/1.1\r\nHost: ficu95.example\r\nX-Almondwell-Attempt-Id: crowd-{index}\r\n\
         X-Almondwell-Model-Name: m\r\nX-Almondwell-Deadline-Ms: 10000\r\nAuthorization: Token key-1\r\n\
         Content-Length: {BODY_BYTES}\r\nX-Almondwell-Token-Usage: 0000,80\r\nX-Almondwell-Prompt-Prefix: "
    );
    let part_bytes = "fff:1,".len();
    let count = (MAX_HEADER_BYTES - start.len() - "\r\n\r\n".len()) / part_bytes;
    let parts: Vec<_> = (0..count)
        .map(|part| format!("{:x}:1", 0x100 + part))
        .collect();
    let mut request = start.replace("0000,80", &format!("{count},80"));
    request.push_str(&parts.join(","));
    request.push_str("\r\n\r\n");
    assert!(request.len() <= MAX_HEADER_BYTES);
    request.push_str(&"b".repeat(BODY_BYTES - 1));
    request.into_bytes()
}
