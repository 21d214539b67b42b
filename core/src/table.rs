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
    routes: BTreeMap<Box<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, Service>,
    /// Version of this configuration.
    pub version: Version,
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
    /// Whether requests without an API key are accepted.
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
        let routes = self.routes.entry(route.host.clone()).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Arc::new(route));
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

    /// Whether a request on `route` with `credential` is admitted.
    pub const fn is_admitted(&self, route: &Route, credential: &Credential) -> bool {
        matches!(credential, Credential::Known(_)) || route.is_public || !self.requires_key
    }

    /// Workspaces by API key.
    pub const fn keys(&self) -> &BTreeMap<Box<str>, Arc<Workspace>> {
        &self.keys
    }

    /// The route of `host` with the longest matching prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
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

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
