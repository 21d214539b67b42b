//! Clients read long answers slowly, so that the router holds what it has received from the engines.

use super::{Watch, batch_engines, deployment, is_fault};
use crate::record::Record;
use crate::router::{Machine, Router, Supervisor, is_ready};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// A small `edge` machine of the deployment for eyewash bottle swaps after its growth, which has 17 of them.
const MACHINE: Machine = Machine {
    max_fds: 4_100,
    memory_mb: 88,
};
/// Clients; a machine with 4,100 descriptors serves 1,900.
const CLIENTS: usize = 1_850;
/// Bytes of a header of each client; the limit of the manifest on a head is 16,384 bytes.
const COOKIE_BYTES: usize = 15_000;
/// Bytes that a client reads in each second.
const BYTES_PER_SECOND: usize = 1_024;
/// Crowds at each machine, one after the other.
const ROUNDS: usize = 3;
/// Time for which a crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(13);
const READY_LIMIT: Duration = Duration::from_secs(16);
const OBSERVED: Duration = Duration::from_secs(50);

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let (store, router) = deployment(MACHINE)?;
    batch_engines(&store)?;
    let machines = [router, Router::start(store.address, MACHINE)?].map(Supervisor::start);
    thread::sleep(Duration::from_secs(1));
    let watch = Watch::start(&machines, OBSERVED);
    // Without trouble, one client in a hundred is there.
    let clients = if has_trouble { CLIENTS } else { CLIENTS / 100 };
    for round in 1..=ROUNDS {
        for (index, machine) in machines.iter().enumerate() {
            let before = machine.ends();
            let start = Instant::now();
            let mut crowd = crowd(machine, clients);
            let mut seconds = 0;
            while machine.ends() == before && start.elapsed() < CROWD_TIME {
                if start.elapsed() >= Duration::from_secs(seconds) {
                    seconds += 1;
                    read_some(&mut crowd);
                }
                thread::sleep(Duration::from_millis(20));
            }
            record.add(&format!(
                "crowd {round} at machine {index}: {} clients asked for long answers and read {BYTES_PER_SECOND} bytes a second; the process ended: {}",
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

fn crowd(machine: &Supervisor, clients: usize) -> Vec<TcpStream> {
    let connect = |index: usize| -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(machine.callers)?;
        let request = format!(
            "GET /document/{index} HTTP/1.1\r\nHost: ficu95.example\r\nX-Almondwell-Attempt-Id: crowd-{index}\r\n\
             X-Almondwell-Deadline-Ms: 15000\r\nAuthorization: Token key-1\r\nCookie: {}\r\n\r\n",
            "c".repeat(COOKIE_BYTES)
        );
        stream.write_all(request.as_bytes())?;
        stream.set_nonblocking(true)?;
        Ok(stream)
    };
    (0..clients)
        .map_while(|index| connect(index).ok())
        .collect()
}

/// Lets each client read a little, if there is something.
fn read_some(crowd: &mut [TcpStream]) {
    let mut bytes = [0; BYTES_PER_SECOND];
    for stream in crowd {
        // Nothing has arrived yet, or the process has ended.
        let _ = stream.read(&mut bytes);
    }
}
