//! The table of routes: which service a request goes to, who may call, and within which limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Version of a table; grows with each change.
pub type Version = u64;

/// Urgency of a request; 0 is the most urgent.
pub type Rank = u8;

/// Configuration of all routes, services and workspaces in one version.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Workspaces by the key that their callers send.
    keys: BTreeMap<Box<str>, Arc<Workspace>>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Rank of the least urgent workspace.
    last_workspace: Rank,
    /// Number of ranks that routes have.
    route_ranks: Rank,
    /// Routes by host, the longest prefix first.
    routes: BTreeMap<Box<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Box<str>, Service>,
    /// Version of the table.
    pub version: Version,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest body in bytes.
    pub body: usize,
    /// Longest head in bytes.
    pub head: usize,
    /// Time in which a head has to arrive.
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

/// What a request may be sent to again after it may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// Never.
    Never,
    /// From the last event that arrived.
    Resumable,
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// Services with their weights; a single one has any weight.
    pub backends: Vec<(Box<str>, u32)>,
    /// Longest pause between two events that is still on time, on streams.
    pub gap: Option<Duration>,
    /// Host that callers name.
    pub host: Box<str>,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether answers are streams of events.
    pub is_stream: bool,
    /// Name of the route.
    pub name: Box<str>,
    /// Start of the paths that it serves.
    pub prefix: Box<str>,
    /// Rank among the routes.
    pub priority: Rank,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Time in which an answer is on time.
    pub target: Duration,
    /// Longest time that a request may be kept.
    pub timeout: Duration,
}

impl Route {
    /// The service for a request; `draw` picks among several by weight.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .backends
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for (service, weight) in &self.backends {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}

/// One service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Connections that one upstream accepts from all callers together.
    pub connections: Option<u32>,
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Whether its upstreams are model engines.
    pub is_engine: bool,
    /// Tokens that the memory of one upstream holds.
    pub memory_tokens: Option<u64>,
    /// Requests that one upstream runs at once.
    pub slots: Option<u32>,
}

/// One workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name that upstreams see.
    pub name: Box<str>,
    /// Rank among the workspaces; it goes before the route's, which decides among equals.
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
        self.route_ranks = self.route_ranks.max(route.priority.saturating_add(1));
        let routes = self.routes.entry(route.host.clone()).or_default();
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, Arc::new(route));
    }

    /// Adds a workspace with the keys of its callers.
    pub fn add_workspace(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = Box<str>>,
    ) {
        let rank = workspace.priority.unwrap_or(0);
        self.last_workspace = self.last_workspace.max(rank);
        let workspace = Arc::new(workspace);
        for key in keys {
            self.keys.insert(key, workspace.clone());
        }
    }

    /// Workspaces by the key that their callers send.
    pub const fn keys(&self) -> &BTreeMap<Box<str>, Arc<Workspace>> {
        &self.keys
    }

    /// The route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// Urgency of a request from `workspace` on `route`: first by the workspace, then by the route. A
    /// workspace without a rank stands with the last.
    pub fn rank(&self, workspace: Option<&Workspace>, route: &Route) -> Rank {
        workspace
            .and_then(|workspace| workspace.priority)
            .unwrap_or(self.last_workspace)
            .saturating_mul(self.route_ranks)
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
