//! Follows the published configuration.

use crate::catalog::Catalog;
use crate::entry::Entry;
use almondwell_platform::Object;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Key of the configuration in the object API.
pub(crate) const KEY: &str = "config/current";

const RETRY_PAUSE: Duration = Duration::from_millis(500);
const WATCH_TIME: Duration = Duration::from_secs(30);

/// Watches the configuration until the process ends; a version is never replaced by a lower one.
pub(crate) async fn follow(entry: &Entry) {
    loop {
        let version = entry.catalog.load().version;
        match entry.objects.watch(KEY, version, WATCH_TIME).await {
            Ok(Some(object)) => adopt(entry, &object),
            Ok(None) => {}
            Err(_) => task::sleep(RETRY_PAUSE).await,
        }
    }
}

fn adopt(entry: &Entry, object: &Object) {
    if object.version <= entry.catalog.load().version {
        return;
    }
    match serde_json::from_slice(&object.value) {
        Ok(config) => {
            let catalog = Catalog::new(object.version, config);
            entry.catalog.store(Arc::new(catalog));
            spdlog::info!("configuration in force", kv: { version = object.version });
        }
        Err(error) => {
            spdlog::error!("configuration does not decode: {}", error, kv: { version = object.version });
        }
    }
}
