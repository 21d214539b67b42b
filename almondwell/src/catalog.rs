//! The configuration in force, indexed for requests.

use almondwell_schema::{Config, Kind, Service, Version, Workspace};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One published version of all services.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    pub(crate) version: Version,
    models: BTreeMap<Box<str>, Arc<Service>>,
    plains: BTreeMap<Box<str>, Arc<Service>>,
}

impl Catalog {
    pub(crate) fn new(version: Version, config: Config) -> Self {
        let mut catalog = Self {
            version,
            ..Self::default()
        };
        for service in config.services {
            let (index, key) = match service.kind {
                Kind::Engine => (&mut catalog.models, service.model.clone()),
                Kind::Plain => (&mut catalog.plains, service.name.clone()),
            };
            index.insert(key, Arc::new(service));
        }
        catalog
    }

    /// The service that serves `model`.
    pub(crate) fn model(&self, model: &str) -> Option<&Arc<Service>> {
        self.models.get(model)
    }

    /// Names of all models.
    pub(crate) fn models(&self) -> impl Iterator<Item = &str> {
        self.models.keys().map(|model| &**model)
    }

    /// The service `name`.
    pub(crate) fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let mut services = self.models.values().chain(self.plains.values());
        services.find(|service| &*service.name == name)
    }

    /// The plain service `name`.
    pub(crate) fn plain(&self, name: &str) -> Option<&Arc<Service>> {
        self.plains.get(name)
    }
}

/// The workspace of `service` whose callers hold `key`.
pub(crate) fn workspace<'a>(service: &'a Service, key: &str) -> Option<(&'a str, &'a Workspace)> {
    service
        .workspaces
        .iter()
        .find(|(_, workspace)| &*workspace.key == key)
        .map(|(name, workspace)| (&**name, workspace))
}
