//! Publishes a configuration with a conditional write, and finds out whether a write whose
//! response was lost took effect.

use almondwell_configuration::KEY;
use almondwell_platform::{Error, Expect, Object, Objects, Written};
use almondwell_schema::{Config, Version};
use async_std::task;
use eyre::{Result, WrapErr, bail, eyre};
use std::time::{Duration, Instant};

const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of earlier publications listed in a configuration.
const MAX_REPLACED: usize = 64;

/// A publication in progress.
pub(crate) struct Publication {
    config: Config,
    objects: Objects,
    retry_timeout: Duration,
}

/// Outcome of a write.
enum Outcome {
    /// The configuration is in force, or was until a later publication replaced it.
    Published(Version),
    /// Another publication was written first; holds its version and configuration.
    Conflict(Version, Config),
}

impl Publication {
    pub(crate) fn new(objects: Objects, config: Config, retry_timeout: Duration) -> Self {
        Self {
            config,
            objects,
            retry_timeout,
        }
    }

    /// Publishes and returns the version. An error says whether the configuration was not published
    /// or whether that is unknown because responses were lost.
    pub(crate) async fn run(mut self) -> Result<Version> {
        let start = Instant::now();
        let current = self
            .read_current(start)
            .await
            .wrap_err("not published: the configuration cannot be read")?;
        let expect = match &current {
            Some(object) => Expect::Version(object.version),
            None => Expect::Absent,
        };
        if let Some(object) = &current {
            self.set_replaced(&decode(object)?);
        }
        match self.write(expect, start).await? {
            Outcome::Published(version) => Ok(version),
            Outcome::Conflict(version, winner) => bail!(
                "not published: lost to version {version} published by `{}`; look at its services and publish again",
                winner.author
            ),
        }
    }

    /// Reads the published configuration, retrying until `start + retry_timeout`.
    async fn read_current(&self, start: Instant) -> Result<Option<Object>, Error> {
        loop {
            match self.objects.get(KEY).await {
                Ok(object) => return Ok(object),
                Err(error) if start.elapsed() >= self.retry_timeout => return Err(error),
                Err(_) => task::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Lists `current` and the publications that it replaced as replaced by this one.
    fn set_replaced(&mut self, current: &Config) {
        let mut replaced = vec![current.publish];
        replaced.extend(&current.replaced);
        replaced.truncate(MAX_REPLACED);
        self.config.replaced = replaced;
    }

    /// Repeats the same conditional write until its outcome is known. Repeating is safe: of all
    /// writes with the same condition at most one takes effect, however late they arrive.
    async fn write(&self, expect: Expect, start: Instant) -> Result<Outcome> {
        let value = serde_json::to_vec(&self.config)?;
        let mut was_sent = false;
        loop {
            let error = match self.objects.put(KEY, &value, expect).await {
                Ok(Written::Done(version)) => return Ok(Outcome::Published(version)),
                Ok(Written::Conflict) => return self.resolve_conflict(start).await,
                Err(error) => error,
            };
            was_sent |= !matches!(error, Error::Down(_));
            if start.elapsed() < self.retry_timeout {
                task::sleep(RETRY_DELAY).await;
                continue;
            }
            if was_sent {
                return Err(eyre!(error)).wrap_err(self.unknown_outcome());
            }
            return Err(error).wrap_err("not published: no write took effect");
        }
    }

    /// Finds out which publication was written, after the condition of a write did not hold.
    async fn resolve_conflict(&self, start: Instant) -> Result<Outcome> {
        let Some(object) = self
            .read_current(start)
            .await
            .wrap_err_with(|| self.unknown_outcome())?
        else {
            bail!(
                "the configuration was deleted meanwhile; {}",
                self.unknown_outcome()
            );
        };
        let winner = decode(&object)?;
        let is_ours = winner.publish == self.config.publish;
        if is_ours || winner.replaced.contains(&self.config.publish) {
            return Ok(Outcome::Published(object.version));
        }
        Ok(Outcome::Conflict(object.version, winner))
    }

    fn unknown_outcome(&self) -> String {
        format!(
            "it is not known whether publication {:016x} was written; see `almondwell status`",
            self.config.publish
        )
    }
}

fn decode(object: &Object) -> Result<Config> {
    serde_json::from_slice(&object.value)
        .wrap_err_with(|| format!("cannot decode configuration version {}", object.version))
}
