//! A whole local set: platform, entries, sides and upstreams as processes.

use crate::http::{self, Answer};
use crate::process::{Process, free_address, path};
use crate::proxy::Proxy;
use almondwell_schema::{Instance, Role};
use async_std::task;
use eyre::{Result, bail, ensure};
use http_types::{Body, Method};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_mins(1);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Secret of the set's processes.
pub const SECRET: &str = "local set";

/// Service file of the engines that draft.
pub const DRAFTING: &str = "\
[service]
name = drafting
kind = engine
model = almond
pool = drafting
class = summary

[class review]
tier = 2
first_token = 10s
deadline = 120s
idempotent = yes

[class summary]
tier = 1
first_token = 2s
deadline = 30s
idempotent = yes

[class urgent]
tier = 0
first_token = 1s
deadline = 30s
idempotent = yes

[workspace retail]
key = retail-key
share = 3

[workspace wholesale]
key = wholesale-key
";

/// Service file of the plain order desk.
pub const ORDERS: &str = "\
[service]
name = orders
kind = plain
pool = orders
class = booking

[class booking]
tier = 0
first_token = 2s
deadline = 20s
idempotent = no

[class lookup]
tier = 1
first_token = 1s
deadline = 20s
idempotent = yes

[workspace retail]
key = retail-key
share = 3

[workspace wholesale]
key = wholesale-key
";

/// Sizes and times of a set.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests an engine runs at once.
    pub batch: u32,
    /// Engines, one side each.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Flags added to each entry.
    pub entry_flags: Vec<(String, String)>,
    /// Whether engines refuse orders with an old fencing number.
    pub fenced: bool,
    /// Lag of the instance list.
    pub lag: Duration,
    /// Plain order desks, one side each.
    pub plains: usize,
    /// Time to an engine's first token.
    pub prefill: Duration,
    /// Whether a proxy stands before the platform, each side and each upstream.
    pub proxied: bool,
    /// Seed of the proxies.
    pub seed: u64,
    /// Service files, as text.
    pub services: Vec<String>,
    /// Flags added to each side.
    pub side_flags: Vec<(String, String)>,
    /// Time between an engine's tokens.
    pub token: Duration,
    /// Time of a plain call.
    pub work: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch: 8,
            engines: 2,
            entries: 2,
            entry_flags: Vec::new(),
            fenced: false,
            lag: Duration::ZERO,
            plains: 1,
            prefill: Duration::from_millis(10),
            proxied: false,
            seed: 0,
            services: vec![DRAFTING.to_string(), ORDERS.to_string()],
            side_flags: Vec::new(),
            token: Duration::from_millis(2),
            work: Duration::from_millis(5),
        }
    }
}

/// One entry.
pub struct Entry {
    /// Address of its health, metrics and report pages.
    pub admin: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other almondwell processes.
    pub control: SocketAddr,
    /// Identifier in the instance list.
    pub id: String,
    /// The process.
    pub process: Process,
}

/// One upstream and the side before it.
pub struct Upstream {
    /// Address of the side's health and metrics pages.
    pub admin: SocketAddr,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Address of the side for other almondwell processes.
    pub control: SocketAddr,
    /// Identifier of the side in the instance list.
    pub id: String,
    /// Pool it belongs to.
    pub pool: String,
    /// The side's process.
    pub side: Process,
    /// The upstream's process.
    pub upstream: Process,
}

/// A running set; its processes end with it.
pub struct Set {
    /// Entries, in order of their ids.
    pub entries: Vec<Entry>,
    /// Folder of the set's service files.
    pub folder: PathBuf,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// The platform's process.
    pub platform_process: Process,
    /// Proxies by the address that each stands before.
    pub proxies: BTreeMap<SocketAddr, Proxy>,
    /// Sizes and times.
    pub settings: Settings,
    /// Upstreams, engines first.
    pub upstreams: Vec<Upstream>,
}

impl Set {
    /// Starts all processes, publishes the service files and waits until entries are ready.
    pub async fn start(settings: Settings) -> Result<Self> {
        let platform = free_address()?;
        let lag = settings.lag.as_millis().to_string();
        let platform_process = Process::start(
            "fakes",
            &flags(
                "platform",
                &[("address", platform.to_string()), ("lag-ms", lag)],
            ),
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
        for _ in 0..set.settings.plains {
            set.add_plain().await?;
        }
        for _ in 0..set.settings.entries {
            set.add_entry().await?;
        }
        for entry in &set.entries {
            wait_ready(entry.admin, "/ready").await?;
        }
        Ok(set)
    }

    /// Publishes `services` by the `publish` command.
    pub async fn publish(&self, services: &[String]) -> Result<String> {
        let mut command = Command::new(path("almondwell")?);
        command.args(["publish", "--platform", &self.platform.to_string()]);
        for (index, service) in services.iter().enumerate() {
            let file = self.folder.join(format!("service-{index}.ini"));
            std::fs::write(&file, service)?;
            command.arg(file);
        }
        let output = async_std::task::spawn_blocking(move || command.output()).await?;
        let errors = String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.success(), "publish failed: {errors}");
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Starts one more engine with its side.
    pub async fn add_engine(&mut self) -> Result<()> {
        let settings = &self.settings;
        let extra = [
            ("batch", settings.batch.to_string()),
            ("fenced", settings.fenced.to_string()),
            ("prefill-ms", settings.prefill.as_millis().to_string()),
            ("token-ms", settings.token.as_millis().to_string()),
        ];
        let places = settings.batch;
        self.add_upstream("engine", "drafting", &extra, places)
            .await
    }

    /// Starts one more plain order desk with its side.
    pub async fn add_plain(&mut self) -> Result<()> {
        const PLACES: u32 = 16;
        let records = self
            .folder
            .join(format!("runs-{}", self.upstreams.len()))
            .display()
            .to_string();
        let extra = [
            ("records", records),
            ("work-ms", self.settings.work.as_millis().to_string()),
        ];
        self.add_upstream("plain", "orders", &extra, PLACES).await
    }

    async fn add_upstream(
        &mut self,
        kind: &str,
        pool: &str,
        extra: &[(&str, String)],
        places: u32,
    ) -> Result<()> {
        let address = free_address()?;
        let mut arguments = flags(kind, &[("address", address.to_string())]);
        arguments.extend(pairs(extra));
        let upstream = Process::start("fakes", &arguments)?;
        wait_ready(address, "/health").await?;
        let id = format!("side-{pool}-{}", self.upstreams.len());
        let control = free_address()?;
        let admin = free_address()?;
        self.add_proxy(address).await?;
        self.add_proxy(control).await?;
        let side = self.start_side(&id, pool, [control, admin, address], places)?;
        wait_ready(admin, "/live").await?;
        self.register(&instance(&id, Role::Side, pool, self.seen(control)))
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
        places: u32,
    ) -> Result<Process> {
        let fenced = match (pool, self.settings.fenced) {
            ("drafting", true) => "yes",
            (_, _) => "no",
        };
        let mut arguments = pairs(&[
            ("id", id.to_string()),
            ("pool", pool.to_string()),
            ("zone", "kagoshima-a".to_string()),
            ("region", "kyushu-south".to_string()),
            ("control", control.to_string()),
            ("admin", admin.to_string()),
            ("platform", self.seen(self.platform).to_string()),
            ("upstream", self.seen(upstream).to_string()),
            ("secret", SECRET.to_string()),
            ("places", places.to_string()),
            ("fenced", fenced.to_string()),
        ]);
        arguments.extend(pairs(&self.settings.side_flags));
        Process::start("almondwell-side", &arguments)
    }

    /// Starts one more entry.
    pub async fn add_entry(&mut self) -> Result<()> {
        let id = format!("entry-{}", self.entries.len());
        let addresses = [free_address()?, free_address()?, free_address()?];
        let entry = self.start_entry(&id, addresses).await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Starts the entry `id` at `addresses` and shows it in the instance list.
    pub(crate) async fn start_entry(
        &self,
        id: &str,
        [callers, control, admin]: [SocketAddr; 3],
    ) -> Result<Entry> {
        let mut arguments = vec!["serve".to_string()];
        arguments.extend(pairs(&[
            ("id", id.to_string()),
            ("zone", "kagoshima-a".to_string()),
            ("region", "kyushu-south".to_string()),
            ("callers", callers.to_string()),
            ("control", control.to_string()),
            ("admin", admin.to_string()),
            ("platform", self.seen(self.platform).to_string()),
            ("secret", SECRET.to_string()),
        ]));
        arguments.extend(pairs(&self.settings.entry_flags));
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

    /// Address at which other processes reach `address`: its proxy's, if it has one.
    pub fn seen(&self, address: SocketAddr) -> SocketAddr {
        self.proxies.get(&address).map_or(address, Proxy::address)
    }

    async fn add_proxy(&mut self, address: SocketAddr) -> Result<()> {
        if self.settings.proxied {
            let seed = self.settings.seed.wrapping_add(u64::from(address.port()));
            let proxy = Proxy::before(address, seed).await?;
            self.proxies.insert(address, proxy);
        }
        Ok(())
    }

    /// Shows `instance` in the instance list.
    pub async fn register(&self, instance: &Instance) -> Result<()> {
        let path = format!("/instances/{}", instance.id);
        let body = serde_json::to_string(instance)?;
        self.ask(self.platform, Method::Put, &path, body).await?;
        Ok(())
    }

    /// Takes `id` from the instance list.
    pub async fn unregister(&self, id: &str) -> Result<()> {
        let path = format!("/instances/{id}");
        self.ask(self.platform, Method::Delete, &path, "").await?;
        Ok(())
    }

    /// Sets the faults of a stand-in.
    pub async fn control(&self, address: SocketAddr, faults: &Value) -> Result<()> {
        self.ask(address, Method::Post, "/control", faults.to_string())
            .await?;
        Ok(())
    }

    /// Reads a JSON page of a stand-in or an admin address.
    pub async fn read(&self, address: SocketAddr, page: &str) -> Result<Value> {
        self.ask(address, Method::Get, page, "").await?.json()
    }

    /// Asks the entry `index` for a chat completion of `tokens` tokens.
    pub async fn chat(
        &self,
        index: usize,
        class: &str,
        prompt: &str,
        tokens: u64,
    ) -> Result<Answer> {
        let body = chat_body(prompt, tokens, false);
        let headers = [("Almondwell-Class", class)];
        self.post(index, "/v1/chat/completions", &headers, &body)
            .await
    }

    /// Sends a plain call to the order desk.
    pub async fn order(&self, index: usize, class: &str, key: &str, body: &str) -> Result<Answer> {
        let path = format!("/v1/services/orders/{class}");
        self.post(index, &path, &[("Idempotency-Key", key)], body)
            .await
    }

    /// Posts `body` to the entry `index` as the workspace `retail`.
    pub async fn post(
        &self,
        index: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let address = self.entries[index].callers;
        let mut all = vec![
            ("Authorization", "Bearer retail-key"),
            ("Content-Type", "application/json"),
        ];
        all.extend(headers);
        let request = http::request(Method::Post, address, path, &all, body);
        http::call(address, request, CALL_TIMEOUT).await
    }

    async fn ask(
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
            "{address}{path} answered {}",
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

/// Body of a chat completion whose answer has `tokens` tokens.
pub fn chat_body(prompt: &str, tokens: u64, stream: bool) -> String {
    json!({
        "model": "almond",
        "messages": [{"role": "user", "content": prompt}],
        "metadata": {"tokens": tokens},
        "stream": stream,
    })
    .to_string()
}

/// Waits until `address` answers `page` with success.
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

fn flags(kind: &str, pairs_of: &[(&str, String)]) -> Vec<String> {
    let mut arguments = vec![kind.to_string()];
    arguments.extend(pairs(pairs_of));
    arguments
}

fn pairs<K: AsRef<str>>(pairs: &[(K, String)]) -> Vec<String> {
    pairs
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
