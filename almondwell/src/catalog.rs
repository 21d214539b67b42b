//! The current configuration, indexed for requests.

use almondwell_schema::{Config, Kind, Service, Version, Workspace};
use std::collections::BTreeMap;
use std::sync::Arc;

/// All services of one published configuration version.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    pub(crate) version: Version,
    /// Engine services by model name.
    engine_services: BTreeMap<Box<str>, Arc<Service>>,
    /// Plain services by service name.
    plain_services: BTreeMap<Box<str>, Arc<Service>>,
}

impl Catalog {
    pub(crate) fn new(version: Version, config: Config) -> Self {
        let mut catalog = Self {
            version,
            ..Self::default()
        };
        for service in config.services {
            let (index, key) = match service.kind {
                Kind::Engine => (&mut catalog.engine_services, service.model.clone()),
                Kind::Plain => (&mut catalog.plain_services, service.name.clone()),
            };
            index.insert(key, Arc::new(service));
        }
        catalog
    }

    /// The service that serves `model`.
    pub(crate) fn model(&self, model: &str) -> Option<&Arc<Service>> {
        self.engine_services.get(model)
    }

    /// Names of all models.
    pub(crate) fn models(&self) -> impl Iterator<Item = &str> {
        self.engine_services.keys().map(|model| &**model)
    }

    /// The service `name`, of either kind.
    pub(crate) fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let mut services = self
            .engine_services
            .values()
            .chain(self.plain_services.values());
        services.find(|service| &*service.name == name)
    }

    /// The plain service `name`.
    pub(crate) fn plain(&self, name: &str) -> Option<&Arc<Service>> {
        self.plain_services.get(name)
    }
}

/// The name and settings of the workspace of `service` whose bearer key is `key`.
pub(crate) fn workspace<'a>(service: &'a Service, key: &str) -> Option<(&'a str, &'a Workspace)> {
    service
        .workspaces
        .iter()
        .find(|(_, workspace)| &*workspace.key == key)
        .map(|(name, workspace)| (&**name, workspace))
}
