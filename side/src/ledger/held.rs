//! One shard, its driver's signals and its place in the store.

use super::{Ledger, Name};
use almondwell_core::ledger::{Call, Reply, Shard, Standing};
use almondwell_daemon::Clock;
use almondwell_platform::{Expect, Objects, Written};
use almondwell_schema::Version;
use event_listener::Event;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

/// Time since the Unix epoch that never steps back while the process lives.
#[derive(Clone, Copy)]
pub(crate) struct WallClock {
    clock: Clock,
    start: Duration,
}

impl WallClock {
    pub(crate) fn new(clock: Clock) -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            clock,
            start: since_epoch.unwrap_or_default().saturating_sub(clock.now()),
        }
    }

    pub(crate) fn now(self) -> Duration {
        self.start + self.clock.now()
    }
}

/// A shard that this side holds or wants to hold.
pub(crate) struct Held {
    /// Signals calls that the shard has changed.
    pub(crate) changed: Event,
    pub(crate) clock: WallClock,
    /// Signals the driver that something was asked.
    pub(crate) wake: Event,
    objects: Objects,
    prefix: Box<str>,
    shard: Mutex<Shard>,
}

impl Held {
    pub(crate) fn new(ledger: &Ledger, (service, number): &Name) -> Self {
        Self {
            changed: Event::new(),
            clock: ledger.clock,
            objects: ledger.objects.clone(),
            prefix: format!("ledger/{}/{number}", path_part(service)).into(),
            shard: Mutex::new(Shard::new(ledger.holder, ledger.options)),
            wake: Event::new(),
        }
    }

    /// The shard, locked; hold it across no await.
    pub(crate) fn shard(&self) -> MutexGuard<'_, Shard> {
        self.shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn ask(&self, call: Call) -> Standing {
        let standing = self.shard().ask(self.clock.now(), call);
        self.wake.notify(1);
        standing
    }

    /// Tells the driver and the waiting calls that the shard has changed.
    pub(crate) fn notify(&self) {
        self.wake.notify(1);
        self.changed.notify(usize::MAX);
    }

    pub(crate) async fn flush(&self) {
        loop {
            let changed = self.changed.listen();
            if self.shard().hurry() {
                return;
            }
            self.wake.notify(1);
            changed.await;
        }
    }

    pub(crate) async fn read(&self, name: &str) -> Reply {
        match self.objects.get(&self.key(name)).await {
            Ok(Some(object)) => Reply::Found {
                value: object.value,
                version: object.version,
            },
            Ok(None) => Reply::Absent,
            Err(_) => Reply::Failed,
        }
    }

    pub(crate) async fn write(&self, name: &str, expect: Option<Version>, value: &[u8]) -> Reply {
        let expect = expect.map_or(Expect::Absent, Expect::Version);
        match self.objects.put(&self.key(name), value, expect).await {
            Ok(Written::Done(version)) => Reply::Written(version),
            Ok(Written::Conflict) => Reply::Conflict,
            Err(_) => Reply::Failed,
        }
    }

    fn key(&self, name: &str) -> String {
        format!("{}/{name}", self.prefix)
    }
}

/// `service` as a part of an object's key; no two services share one.
fn path_part(service: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric();
    service
        .bytes()
        .map(|byte| {
            if is_plain(byte) {
                char::from(byte).to_string()
            } else {
                format!(".{byte:02x}")
            }
        })
        .collect()
}
