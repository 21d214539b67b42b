//! A ledger shard with its driver's signals and its location in the store.

use super::{Ledger, ShardId};
use almondwell_core::ledger::{Call, Reply, Shard, Status};
use almondwell_daemon::Clock;
use almondwell_platform::{Expect, Objects, Written};
use almondwell_schema::Version;
use event_listener::Event;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

/// Time since the Unix epoch; monotonic for the lifetime of the process.
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

/// Handle of a shard that this side holds or wants to hold.
pub(crate) struct Handle {
    /// Notifies waiting calls that the shard has changed.
    pub(crate) changed: Event,
    pub(crate) clock: WallClock,
    /// Wakes the driver when the shard may have work for it.
    pub(crate) wake: Event,
    objects: Objects,
    prefix: Box<str>,
    shard: Mutex<Shard>,
}

impl Handle {
    pub(crate) fn new(ledger: &Ledger, (service, number): &ShardId) -> Self {
        Self {
            changed: Event::new(),
            clock: ledger.clock,
            objects: ledger.objects.clone(),
            prefix: format!("ledger/{}/{number}", escape(service)).into(),
            shard: Mutex::new(Shard::new(ledger.holder, ledger.options)),
            wake: Event::new(),
        }
    }

    /// Locks the shard; the guard must not be held across an await.
    pub(crate) fn shard(&self) -> MutexGuard<'_, Shard> {
        self.shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the shard to run `call` and returns the call's status; ask again after each change.
    pub(crate) fn ask(&self, call: Call) -> Status {
        let status = self.shard().ask(self.clock.now(), call);
        self.wake.notify(1);
        status
    }

    /// Notifies the driver and the waiting calls that the shard has changed.
    pub(crate) fn notify(&self) {
        self.wake.notify(1);
        self.changed.notify(usize::MAX);
    }

    /// Writes pending records without delay and returns once all are written.
    pub(crate) async fn flush(&self) {
        loop {
            let changed = self.changed.listen();
            if self.shard().flush() {
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

/// Escapes `service` for use in an object's key: all bytes but ASCII letters and digits become `.` and
/// two hexadecimal digits, so that no two services share a key.
fn escape(service: &str) -> String {
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
