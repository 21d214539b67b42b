//! The cases. Each returns whether the rule was broken.

mod foreign_entries;
mod long_prefixes;
mod slow_readers;
mod spoiled_status;

use crate::engine::{self, Engine, Serve};
use crate::http::{self, Message};
use crate::record::Record;
use crate::router::{Machine, Router, Supervisor};
use crate::store::Store;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// An `edge` machine of the deployment for eyewash bottle swaps.
const MACHINE: Machine = Machine {
    max_fds: 4_100,
    memory_mb: 110,
};
/// Ends of processes on a machine, and machines, from which a day has failed.
const FAULT_ENDS: usize = 3;
const FAULT_MACHINES: usize = 2;
/// Engines with long answers, each with 64 slots, and the bytes of an answer.
const BATCH_ENGINES: usize = 30;
const DOCUMENT_BYTES: usize = 512 << 10;

pub fn play(case: &str, folder: &Path, has_trouble: bool) -> io::Result<bool> {
    match case {
        "foreign-entries" => foreign_entries::play(folder, has_trouble),
        "long-prefixes" => long_prefixes::play(folder, has_trouble),
        "slow-readers" => slow_readers::play(folder, has_trouble),
        "spoiled-status" => spoiled_status::play(folder, has_trouble),
        other => Err(io::Error::other(format!("no case `{other}`"))),
    }
}

/// A store, three engines of each service and one ready router.
fn deployment(machine: Machine) -> io::Result<(Store, Router)> {
    let store = Store::start()?;
    store.put("config", "main", &manifest());
    for index in 0..3 {
        Engine::start(engine::plain(Duration::from_millis(30)))?.register(
            &store,
            &format!("i-ledger-{index}"),
            "ledger",
            6,
        );
        Engine::start(engine::model())?.register(&store, &format!("i-pool-{index}"), "pool", 64);
    }
    let router = Router::start(store.address, machine)?;
    Ok((store, router))
}

/// Engines of the service `batch`, with slots for the requests of many clients, which answer with long documents.
fn batch_engines(store: &Store) -> io::Result<()> {
    for index in 0..BATCH_ENGINES {
        Engine::start(engine::document(DOCUMENT_BYTES))?.register(
            store,
            &format!("i-batch-{index}"),
            "batch",
            64,
        );
    }
    Ok(())
}

/// As [`deployment`], where one of the three engines of the service `ledger` does `faulty`.
fn ledger_deployment(machine: Machine, faulty: Serve) -> io::Result<Router> {
    let store = Store::start()?;
    store.put("config", "main", &manifest());
    Engine::start(faulty)?.register(&store, "i-ledger-0", "ledger", 6);
    for index in 1..3 {
        Engine::start(engine::plain(Duration::from_millis(10)))?.register(
            &store,
            &format!("i-ledger-{index}"),
            "ledger",
            6,
        );
    }
    Router::start(store.address, machine)
}

/// The manifest of a small deployment: one route of each kind, with the limits that the platform names.
fn manifest() -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32| {
        let is_stream = kind == "streaming";
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\"timeout_ms\":{timeout},\
             \"target_latency_ms\":1500,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"public\":false,\
             \"session_affinity\":{is_stream},\"stream_resume\":{is_stream},\"target_gap_ms\":500}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{},{},{}],\"services\":[\
         {{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_capacity\":422079,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"batch\",\"health_path\":\"/healthz\",\"max_connections\":490,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        route("stream", "/stream/", "streaming", "pool", 10_000),
        route("book", "/book/", "non_idempotent", "ledger", 2_000),
        route("look", "/look/", "idempotent", "ledger", 2_000),
        route("document", "/document/", "idempotent", "batch", 15_000),
    )
}

fn request(attempt: &str, method: &str, path: &str, headers: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Almondwell-Attempt-Id: {attempt}\r\n\
         X-Almondwell-Deadline-Ms: 2000\r\nAuthorization: Token key-1\r\n{headers}Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Sends an ordinary request and returns the answer.
fn ordinary(router: SocketAddr, attempt: &str, method: &str, path: &str) -> io::Result<Message> {
    http::call(
        router,
        &request(attempt, method, path, ""),
        Duration::from_secs(5),
    )
}

/// Sends a request on a connection that the router closes after the answer, and returns all bytes that come.
fn raw(router: SocketAddr, attempt: &str, method: &str, path: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(router)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(&request(attempt, method, path, "Connection: close\r\n"))?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Sends ordinary requests to machines for some time, beside what a case does to them.
struct Watch(JoinHandle<(usize, usize)>);

impl Watch {
    fn start(machines: &[Supervisor], time: Duration) -> Self {
        let callers: Vec<_> = machines.iter().map(|machine| machine.callers).collect();
        Self(thread::spawn(move || {
            let (end, mut asked, mut served) = (Instant::now() + time, 0, 0);
            while Instant::now() < end {
                let address = callers[asked % callers.len()];
                asked += 1;
                let answer = ordinary(address, &format!("ordinary-{asked}"), "GET", "/look/1");
                served += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
                thread::sleep(Duration::from_millis(50));
            }
            (asked, served)
        }))
    }

    fn finish(self, record: &Record) {
        if let Ok((asked, served)) = self.0.join() {
            record.add(&format!(
                "{served} of {asked} ordinary requests meanwhile were served"
            ));
        }
    }
}

/// Whether processes ended three times on two machines or more, by themselves or for their memory.
fn is_fault(machines: &[Supervisor], limits: Machine, record: &Record) -> bool {
    for (index, machine) in machines.iter().enumerate() {
        record.add(&format!(
            "machine {index}: its process ended {} times; peak of {} bytes of memory, of the {} that the machine has",
            machine.ends(),
            machine.peak_memory(),
            limits.memory_bytes()
        ));
    }
    machines
        .iter()
        .filter(|machine| machine.ends() >= FAULT_ENDS)
        .count()
        >= FAULT_MACHINES
}
