//! Processes of the router, started as the deploy file says, with settings like those of a small deployment.

use crate::http;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const READY_LIMIT: Duration = Duration::from_secs(15);
/// Time between two looks of the platform at a process.
const LOOK_PERIOD: Duration = Duration::from_millis(10);
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Limits of a machine.
#[derive(Clone, Copy)]
pub struct Machine {
    pub max_fds: u32,
    pub memory_mb: u32,
}

impl Machine {
    pub fn memory_bytes(&self) -> u64 {
        u64::from(self.memory_mb) << 20
    }
}

/// The router's process on one machine.
pub struct Router {
    pub callers: SocketAddr,
    child: Child,
    folder: PathBuf,
    machine: Machine,
    pub ready: SocketAddr,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Router {
    /// Starts the process and waits until it is ready.
    pub fn start(store: SocketAddr, machine: Machine) -> io::Result<Self> {
        let nanoseconds = std::time::UNIX_EPOCH
            .elapsed()
            .map_err(io::Error::other)?
            .as_nanos();
        let folder = std::env::temp_dir().join(format!(
            "almondwell-review-{}-{nanoseconds}",
            std::process::id()
        ));
        fs::create_dir_all(&folder)?;
        let [callers, ready, control, admin] = [
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
        ];
        // What deploy/router.ini makes of the settings of a machine.
        let settings = format!(
            "[router]\nid = edge-gent-a-1\nzone = gent-a\nregion = vlaanderen\nzones = gent-a=vlaanderen,namur-a=wallonie,antwerpen-b=vlaanderen\n\
             callers = {callers}\nready = {ready}\ncontrol = {control}\nadmin = {admin}\nstore = {store}\nseeds = {control}\n\
             drain = 2500ms\ngrace = 8s\ncontact = 4000ms\nretry_ratio = 0.2\nretry_allowance = 56\nretry_window = 10s\n\
             exchange_loads = yes\nzone_first = yes\n"
        );
        fs::write(folder.join("settings.ini"), settings)?;
        let child = spawn(&folder, machine)?;
        let mut router = Self {
            callers,
            child,
            folder,
            machine,
            ready,
        };
        let end = Instant::now() + READY_LIMIT;
        while !is_ready(router.ready) {
            if Instant::now() > end || !router.is_alive() {
                return Err(io::Error::other("the router did not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(router)
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn restart(&mut self) -> io::Result<()> {
        let _ = self.child.kill();
        self.child.wait()?;
        thread::sleep(RESTART_DELAY);
        self.child = spawn(&self.folder, self.machine)?;
        Ok(())
    }

    /// Most bytes of memory that the process has occupied.
    fn peak_memory(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|value| value.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn spawn(folder: &std::path::Path, machine: Machine) -> io::Result<Child> {
    let path = folder.join("settings.ini");
    Command::new("target/release/almondwell")
        .args(["route", "--settings"])
        .arg(&path)
        .env("ALMONDWELL_SETTINGS", &path)
        .env("ALMONDWELL_ROUTER_DESCRIPTORS", machine.max_fds.to_string())
        .env("ALMONDWELL_ROUTER_MEMORY", machine.memory_mb.to_string())
        .envs(
            [
                "DUTIES",
                "DUTY_RATE",
                "FENCED",
                "LEASE",
                "PROVIDER",
                "USAGE_DELAY",
                "USAGE_TOLERANCE",
                "USAGE_WINDOW",
            ]
            .map(|name| (format!("ALMONDWELL_ROUTER_{name}"), "")),
        )
        .stdin(Stdio::null())
        .stdout(File::create(folder.join("log"))?)
        .stderr(File::create(folder.join("errors"))?)
        .spawn()
}

/// Whether the process with this readiness check takes new channels.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = b"GET /v1/readyz HTTP/1.1\r\nHost: platform\r\n\r\n";
    http::call(address, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
}

/// The platform's part: kills a process that exceeds the memory of its machine, and starts it again.
pub struct Supervisor {
    pub callers: SocketAddr,
    ends: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    pub ready: SocketAddr,
    peak: Arc<Mutex<u64>>,
    thread: Option<JoinHandle<()>>,
}

impl Supervisor {
    pub fn start(mut router: Router) -> Self {
        let (ends, is_over, peak) = (
            Arc::<AtomicUsize>::default(),
            Arc::<AtomicBool>::default(),
            Arc::<Mutex<u64>>::default(),
        );
        let (callers, ready) = (router.callers, router.ready);
        let thread = thread::spawn({
            let (ends, is_over, peak) = (ends.clone(), is_over.clone(), peak.clone());
            move || {
                while !is_over.load(Ordering::Acquire) {
                    let memory = router.peak_memory();
                    let mut most = peak.lock().unwrap();
                    *most = memory.max(*most);
                    drop(most);
                    if memory > router.machine.memory_bytes() || !router.is_alive() {
                        ends.fetch_add(1, Ordering::AcqRel);
                        if router.restart().is_err() {
                            return;
                        }
                    }
                    thread::sleep(LOOK_PERIOD);
                }
            }
        });
        Self {
            callers,
            ends,
            is_over,
            ready,
            peak,
            thread: Some(thread),
        }
    }

    /// How often the process has ended so far: by itself, or for its memory.
    pub fn ends(&self) -> usize {
        self.ends.load(Ordering::Acquire)
    }

    /// Most bytes of memory that a process of the machine has occupied.
    pub fn peak_memory(&self) -> u64 {
        *self.peak.lock().unwrap()
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
