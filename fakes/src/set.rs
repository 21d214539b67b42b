//! A local set of processes: a fake platform, entries, sides and fake upstreams.

mod calls;
mod services;
mod settings;

pub use calls::chat_body;
pub use services::{DRAFTING, ORDERS};
pub use settings::Settings;

use crate::http::{self, Answer};
use crate::process::{Process, free_address, output, path};
use crate::proxy::Proxy;
use almondwell_configuration::KEY;
use almondwell_platform::Objects;
use almondwell_schema::{Instance, Role};
use async_std::task;
use eyre::{Result, bail, ensure};
use http_types::{Body, Method};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_mins(1);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Shared secret of the processes in a set.
pub const SECRET: &str = "local set";

/// One entry.
pub struct Entry {
    /// Address of the health, metrics and report pages.
    pub admin: SocketAddr,
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address that serves other almondwell processes.
    pub control: SocketAddr,
    /// Identifier in the instance list.
    pub id: String,
    /// The process.
    pub process: Process,
}

/// One upstream and the side in front of it.
pub struct Upstream {
    /// Address of the side's health and metrics pages.
    pub admin: SocketAddr,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Address at which the side serves other almondwell processes.
    pub control: SocketAddr,
    /// Identifier of the side in the instance list.
    pub id: String,
    /// Name of the upstream's pool.
    pub pool: String,
    /// The side's process.
    pub side: Process,
    /// The upstream's process.
    pub upstream: Process,
}

/// A running set; dropping it kills its processes and removes its folder.
pub struct Set {
    /// Entries in the order in which they were started; their ids are `entry-0`, `entry-1` and so on.
    pub entries: Vec<Entry>,
    /// Temporary folder of the set: service files, and the runs that order services record.
    pub folder: PathBuf,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// The platform's process.
    pub platform_process: Process,
    /// Proxies by the address to which each forwards.
    pub proxies: BTreeMap<SocketAddr, Proxy>,
    /// Sizes, times and flags.
    pub settings: Settings,
    /// Upstreams in the order in which they were started; `start` begins with the engines.
    pub upstreams: Vec<Upstream>,
}

impl Set {
    /// Starts all processes, publishes the service files and waits until the entries are ready.
    pub async fn start(settings: Settings) -> Result<Self> {
        let platform = free_address()?;
        let lag = settings.lag.as_millis().to_string();
        let platform_process = Process::start(
            "platform-fakes",
            &flag_arguments(&[("address", platform.to_string()), ("lag-ms", lag)]),
        )?;
        let mut set = Self {
            entries: Vec::new(),
            folder: scratch_folder()?,
            platform,
            platform_process,
            proxies: BTreeMap::new(),
            settings,
            upstreams: Vec::new(),
        };
        wait_ready(platform, "/counts").await?;
        set.add_proxy(platform).await?;
        set.publish(&set.settings.services.clone()).await?;
        for _ in 0..set.settings.engines {
            set.add_engine().await?;
        }
        for _ in 0..set.settings.order_services {
            set.add_order_service().await?;
        }
        for _ in 0..set.settings.entries {
            set.add_entry().await?;
        }
        for entry in &set.entries {
            wait_ready(entry.admin, "/ready").await?;
        }
        Ok(set)
    }

    /// Publishes the service files `services` with `almondwell publish`; returns its standard output.
    pub async fn publish(&self, services: &[String]) -> Result<String> {
        let mut command = Command::new(path("almondwell")?);
        command.args(["publish", "--platform", &self.platform.to_string()]);
        for (index, service) in services.iter().enumerate() {
            let file = self.folder.join(format!("service-{index}.ini"));
            std::fs::write(&file, service)?;
            command.arg(file);
        }
        let output = async_std::task::spawn_blocking(move || output(&mut command)).await?;
        let errors = String::from_utf8_lossy(&output.stderr);
        ensure!(
            output.status.success(),
            "`almondwell publish` failed: {errors}"
        );
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Version of the configuration in the store; 0 if none has been published.
    pub async fn published_version(&self) -> Result<u64> {
        let object = Objects::new(self.platform).get(KEY).await?;
        Ok(object.map_or(0, |object| object.version))
    }

    /// Starts another engine with its side.
    pub async fn add_engine(&mut self) -> Result<()> {
        let settings = &self.settings;
        let extra = [
            ("batch", settings.batch.to_string()),
            ("fenced", settings.fenced.to_string()),
            ("prefill-ms", settings.prefill.as_millis().to_string()),
            ("token-ms", settings.token.as_millis().to_string()),
        ];
        let slots = settings.batch;
        self.add_upstream("engine", "drafting", &extra, slots).await
    }

    /// Starts another order service, a plain service, with its side.
    pub async fn add_order_service(&mut self) -> Result<()> {
        const SLOTS: u32 = 16;
        let records = self
            .folder
            .join(format!("runs-{}", self.upstreams.len()))
            .display()
            .to_string();
        let extra = [
            ("records", records),
            ("work-ms", self.settings.work.as_millis().to_string()),
        ];
        self.add_upstream("plain", "orders", &extra, SLOTS).await
    }

    async fn add_upstream(
        &mut self,
        kind: &str,
        pool: &str,
        extra: &[(&str, String)],
        slots: u32,
    ) -> Result<()> {
        let address = free_address()?;
        let mut arguments = kind_arguments(kind, &[("address", address.to_string())]);
        arguments.extend(flag_arguments(extra));
        let upstream = Process::start("fakes", &arguments)?;
        wait_ready(address, "/health").await?;
        let id = format!("side-{pool}-{}", self.upstreams.len());
        let control = free_address()?;
        let admin = free_address()?;
        self.add_proxy(address).await?;
        self.add_proxy(control).await?;
        let side = self.start_side(&id, pool, [control, admin, address], slots)?;
        wait_ready(admin, "/live").await?;
        self.register(&instance(
            &id,
            Role::Side,
            pool,
            self.reachable_address(control),
        ))
        .await?;
        self.upstreams.push(Upstream {
            admin,
            address,
            control,
            id,
            pool: pool.to_string(),
            side,
            upstream,
        });
        Ok(())
    }

    pub(crate) fn start_side(
        &self,
        id: &str,
        pool: &str,
        [control, admin, upstream]: [SocketAddr; 3],
        slots: u32,
    ) -> Result<Process> {
        let fenced = match (pool, self.settings.fenced) {
            ("drafting", true) => "yes",
            (_, _) => "no",
        };
        let mut arguments = flag_arguments(&[
            ("id", id.to_string()),
            ("pool", pool.to_string()),
            ("zone", "kagoshima-a".to_string()),
            ("region", "kyushu-south".to_string()),
            ("control", control.to_string()),
            ("admin", admin.to_string()),
            (
                "platform",
                self.reachable_address(self.platform).to_string(),
            ),
            ("upstream", self.reachable_address(upstream).to_string()),
            ("secret", SECRET.to_string()),
            ("places", slots.to_string()),
            ("fenced", fenced.to_string()),
        ]);
        arguments.extend(flag_arguments(&self.settings.side_flags));
        Process::start("almondwell-side", &arguments)
    }

    /// Starts another entry.
    pub async fn add_entry(&mut self) -> Result<()> {
        let id = format!("entry-{}", self.entries.len());
        let addresses = [free_address()?, free_address()?, free_address()?];
        let entry = self.start_entry(&id, addresses).await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Starts the entry `id` and registers it in the instance list.
    pub(crate) async fn start_entry(
        &self,
        id: &str,
        [callers, control, admin]: [SocketAddr; 3],
    ) -> Result<Entry> {
        let mut arguments = vec!["serve".to_string()];
        arguments.extend(flag_arguments(&[
            ("id", id.to_string()),
            ("zone", "kagoshima-a".to_string()),
            ("region", "kyushu-south".to_string()),
            ("callers", callers.to_string()),
            ("control", control.to_string()),
            ("admin", admin.to_string()),
            (
                "platform",
                self.reachable_address(self.platform).to_string(),
            ),
            ("secret", SECRET.to_string()),
        ]));
        arguments.extend(flag_arguments(&self.settings.entry_flags));
        let process = Process::start("almondwell", &arguments)?;
        self.register(&instance(id, Role::Entry, "", control))
            .await?;
        Ok(Entry {
            admin,
            callers,
            control,
            id: id.to_string(),
            process,
        })
    }

    /// Address at which other processes reach `address`: that of its proxy, if it has one.
    pub fn reachable_address(&self, address: SocketAddr) -> SocketAddr {
        self.proxies.get(&address).map_or(address, Proxy::address)
    }

    async fn add_proxy(&mut self, address: SocketAddr) -> Result<()> {
        if self.settings.proxied {
            let seed = self.settings.seed.wrapping_add(u64::from(address.port()));
            let proxy = Proxy::in_front_of(address, seed).await?;
            self.proxies.insert(address, proxy);
        }
        Ok(())
    }

    /// Adds `instance` to the instance list or replaces its record there.
    pub async fn register(&self, instance: &Instance) -> Result<()> {
        let path = format!("/instances/{}", instance.id);
        let body = serde_json::to_string(instance)?;
        self.send(self.platform, Method::Put, &path, body).await?;
        Ok(())
    }

    /// Removes `id` from the instance list.
    pub async fn unregister(&self, id: &str) -> Result<()> {
        let path = format!("/instances/{id}");
        self.send(self.platform, Method::Delete, &path, "").await?;
        Ok(())
    }

    /// Replaces the faults that the fake at `address` injects.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Value) -> Result<()> {
        self.send(address, Method::Post, "/control", faults.to_string())
            .await?;
        Ok(())
    }

    /// Gets the JSON page `page` of a fake or an admin address.
    pub async fn read(&self, address: SocketAddr, page: &str) -> Result<Value> {
        self.send(address, Method::Get, page, "").await?.json()
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: impl Into<Body>,
    ) -> Result<Answer> {
        let request = http::request(method, address, path, &[], body);
        let answer = http::call(address, request, CALL_TIMEOUT).await?;
        ensure!(
            answer.status() < 300,
            "{address}{path}: expected a status below 300, got {}",
            answer.status()
        );
        Ok(answer)
    }
}

impl Drop for Set {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Polls `page` at `address` until its status is below 300.
///
/// # Errors
///
/// After 20 s without such an answer.
pub async fn wait_ready(address: SocketAddr, page: &str) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < READY_TIMEOUT {
        let request = http::request(Method::Get, address, page, &[], "");
        if let Ok(answer) = http::call(address, request, Duration::from_secs(1)).await
            && answer.status() < 300
        {
            return Ok(());
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    bail!("{address}{page} was not ready within {READY_TIMEOUT:?}")
}

pub(crate) fn instance(id: &str, role: Role, pool: &str, address: SocketAddr) -> Instance {
    Instance {
        id: id.into(),
        role,
        pool: pool.into(),
        address,
        zone: "kagoshima-a".into(),
        region: "kyushu-south".into(),
        leaving: false,
    }
}

fn kind_arguments(kind: &str, flags: &[(&str, String)]) -> Vec<String> {
    let mut arguments = vec![kind.to_string()];
    arguments.extend(flag_arguments(flags));
    arguments
}

fn flag_arguments<K: AsRef<str>>(flags: &[(K, String)]) -> Vec<String> {
    flags
        .iter()
        .flat_map(|(key, value)| [format!("--{}", key.as_ref()), value.clone()])
        .collect()
}

fn scratch_folder() -> Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("almondwell-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
