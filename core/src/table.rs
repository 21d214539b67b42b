//! Routing table: services, routes and workspaces, and limits on requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Version of a table; increases with each change.
pub type Version = u64;

/// Urgency of a request; 0 is the most urgent.
pub type Rank = u8;

/// Configuration of all routes, services and workspaces in one version.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Parts of the configuration that could not be read.
    pub faults: Faults,
    /// Whether there are keys that could not be read, so that an unknown one may be among them.
    pub has_unreadable_keys: bool,
    /// Whether there are routes of which not even the place could be read, so that they may lie anywhere.
    pub has_unreadable_routes: bool,
    /// Workspaces by API key.
    keys: BTreeMap<Box<str>, Arc<Workspace>>,
    /// Limits on requests of callers.
    pub limits: Limits,
    /// Rank of the least urgent workspace.
    last_workspace_rank: Rank,
    /// Whether requests on routes that are not public need a key. Set by each workspace, also by one without keys: a
    /// configuration whose last key was revoked has no keys, and must not admit everyone.
    pub requires_key: bool,
    /// Number of ranks among the routes.
    route_rank_count: Rank,
    /// Routes by host, sorted from the longest prefix to the shortest.
    routes: BTreeMap<Box<str>, Vec<Place>>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, Service>,
    /// Version of this configuration.
    pub version: Version,
}

/// Parts of a configuration that could not be read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    count: usize,
    first: Vec<Box<str>>,
}

impl Faults {
    /// Most faults that are kept; the others are counted.
    const MAX_KEPT: usize = 10;

    /// Adds a fault, which names a part and what was expected.
    pub fn add(&mut self, fault: Box<str>) {
        self.count += 1;
        if self.first.len() < Self::MAX_KEPT {
            self.first.push(fault);
        }
    }

    /// Number of faults.
    pub const fn count(&self) -> usize {
        self.count
    }

    /// The first faults.
    pub fn first(&self) -> &[Box<str>] {
        &self.first
    }
}

/// Prefix of a host's paths, and the route there; `None` if the rest of the route could not be read.
#[derive(Clone, Debug)]
struct Place {
    prefix: Box<str>,
    route: Option<Arc<Route>>,
}

/// Why there is no route for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absence {
    /// No route matches.
    Unknown,
    /// The route that matches, or may match, could not be read.
    Unreadable,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum body size in bytes.
    pub body: usize,
    /// Maximum size of the request head in bytes.
    pub head: usize,
    /// Time within which the complete request head has to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            head: 16 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// Always.
    Idempotent,
    /// Never.
    Never,
    /// Only to resume the stream after the last received event.
    Resumable,
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Maximum number of upstreams that a request is sent to.
    pub attempts: u32,
    /// Services with their weights; the weight of a single service doesn't matter.
    pub backends: Vec<(Box<str>, u32)>,
    /// Target gap of streams: the longest pause between two events that is still on time.
    pub gap: Option<Duration>,
    /// Host name of the requests.
    pub host: Box<str>,
    /// Whether requests without an API key are accepted. One that has a key needs a known one.
    pub is_public: bool,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Name of the route.
    pub name: Box<str>,
    /// Path prefix of the requests.
    pub prefix: Box<str>,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: Rank,
    /// Whether requests may be sent again after an attempt that may have run.
    pub retry: Retry,
    /// Latency target of responses.
    pub target: Duration,
    /// Maximum time for a request.
    pub timeout: Duration,
}

impl Route {
    /// Whether requests may be sent to `service`.
    pub fn leads_to(&self, service: &str) -> bool {
        let mut backends = self.backends.iter();
        let is_only = backends.len() == 1;
        backends.any(|(name, weight)| **name == *service && (is_only || *weight > 0))
    }

    /// The service for a request, chosen by weight with the random number `random`; `None` if the weights
    /// of several add up to 0.
    pub fn service(&self, random: u64) -> Option<&str> {
        if let [(service, _)] = &*self.backends {
            return Some(service);
        }
        let total: u64 = self
            .backends
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remainder = random.checked_rem(total)?;
        for (service, weight) in &self.backends {
            let weight = u64::from(*weight);
            if remainder < weight {
                return Some(service);
            }
            remainder -= weight;
        }
        None
    }
}

/// One service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Maximum number of connections of one upstream, from all entries together.
    pub connections: Option<u32>,
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Whether its upstreams are model engines.
    pub is_engine: bool,
    /// Capacity of one upstream's KV cache in tokens.
    pub memory_tokens: Option<u64>,
    /// Maximum number of concurrent requests of one upstream.
    pub slots: Option<u32>,
}

/// What the key of a request shows of its caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Credential {
    /// The key of a workspace.
    Known(Arc<Workspace>),
    /// No key.
    #[default]
    Missing,
    /// A key that no workspace has.
    Unknown,
}

impl Credential {
    /// Name for logs.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Known(_) => "known",
            Self::Missing => "missing",
            Self::Unknown => "unknown",
        }
    }

    /// The workspace of the caller, if it is known.
    pub const fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Self::Known(workspace) => Some(workspace),
            Self::Missing | Self::Unknown => None,
        }
    }
}

/// One workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name sent to upstreams.
    pub name: Box<str>,
    /// Rank among the workspaces; 0 is the most urgent. It takes precedence over the rank of the route, which
    /// decides between workspaces of equal rank.
    pub priority: Option<Rank>,
}

impl Table {
    /// A table without routes.
    pub fn new(version: Version) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add(&mut self, route: Route) {
        self.route_rank_count = self.route_rank_count.max(route.priority.saturating_add(1));
        let (host, prefix) = (route.host.clone(), route.prefix.clone());
        let route = Some(Arc::new(route));
        self.add_place(host, Place { prefix, route });
    }

    /// Adds the place of a route of which the rest could not be read.
    pub fn add_unreadable(&mut self, host: Box<str>, prefix: Box<str>) {
        let route = None;
        self.add_place(host, Place { prefix, route });
    }

    fn add_place(&mut self, host: Box<str>, place: Place) {
        let places = self.routes.entry(host).or_default();
        let index = places.partition_point(|other| other.prefix.len() >= place.prefix.len());
        places.insert(index, place);
    }

    /// Adds a workspace with its API keys.
    pub fn add_workspace(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = Box<str>>,
    ) {
        self.requires_key = true;
        let rank = workspace.priority.unwrap_or(0);
        self.last_workspace_rank = self.last_workspace_rank.max(rank);
        let workspace = Arc::new(workspace);
        for key in keys {
            self.keys.insert(key, workspace.clone());
        }
    }

    /// What the key of a request, if it has one, shows of its caller.
    pub fn credential(&self, key: Option<&str>) -> Credential {
        match key.map(|key| self.keys.get(key)) {
            None => Credential::Missing,
            Some(None) => Credential::Unknown,
            Some(Some(workspace)) => Credential::Known(workspace.clone()),
        }
    }

    /// Whether a request on `route` with `credential` is admitted. A public route admits requests without a key, but none
    /// with a key that was revoked.
    pub const fn is_admitted(&self, route: &Route, credential: &Credential) -> bool {
        match credential {
            Credential::Known(_) => true,
            Credential::Missing => route.is_public || !self.requires_key,
            Credential::Unknown => !self.requires_key,
        }
    }

    /// Workspaces by API key.
    pub const fn keys(&self) -> &BTreeMap<Box<str>, Arc<Workspace>> {
        &self.keys
    }

    /// The route of `host` with the longest matching prefix of `path`.
    ///
    /// # Errors
    ///
    /// Fails when there is none that could be read.
    pub fn find(&self, host: &str, path: &str) -> Result<&Arc<Route>, Absence> {
        let places = self.routes.get(host);
        let place = places
            .into_iter()
            .flatten()
            .find(|place| path.starts_with(&*place.prefix));
        match place {
            Some(place) => place.route.as_ref().ok_or(Absence::Unreadable),
            None if self.has_unreadable_routes => Err(Absence::Unreadable),
            None => Err(Absence::Unknown),
        }
    }

    /// As [`Self::find`]; `None` if there is none that could be read.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.find(host, path).ok()
    }

    /// Rank of a request from `workspace` on `route`: first by workspace, then by route. Requests without a
    /// workspace, or from one without a rank, rank with the least urgent workspace.
    pub fn rank(&self, workspace: Option<&Workspace>, route: &Route) -> Rank {
        workspace
            .and_then(|workspace| workspace.priority)
            .unwrap_or(self.last_workspace_rank)
            .saturating_mul(self.route_rank_count)
            .saturating_add(route.priority)
    }

    /// Number of routes that could be read.
    pub fn len(&self) -> usize {
        let places = self.routes.values().flatten();
        places.filter(|place| place.route.is_some()).count()
    }

    /// Whether there are no routes that could be read.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
