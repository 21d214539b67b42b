//! Writes a configuration, and finds out what became of a write whose answer was lost.

use almondwell_configuration::KEY;
use almondwell_platform::{Error, Expect, Object, Objects, Written};
use almondwell_schema::{Config, Version};
use async_std::task;
use eyre::{Result, WrapErr, bail, eyre};
use std::time::{Duration, Instant};

const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Earlier publications that an object names.
const REPLACED_LIMIT: usize = 64;

/// One publication on its way.
pub(crate) struct Publication {
    config: Config,
    objects: Objects,
    patience: Duration,
}

/// What became of a write.
enum Outcome {
    /// It is in force, or was until others replaced it.
    Done(Version),
    /// Another publication came first; holds its version.
    Lost(Version, Config),
}

impl Publication {
    pub(crate) fn new(objects: Objects, config: Config, patience: Duration) -> Self {
        Self {
            config,
            objects,
            patience,
        }
    }

    /// Publishes; the answer is true whatever became of single calls.
    pub(crate) async fn run(mut self) -> Result<Version> {
        let start = Instant::now();
        let base = self
            .base(start)
            .await
            .wrap_err("not published: the configuration cannot be read")?;
        let expect = match &base {
            Some(object) => Expect::Version(object.version),
            None => Expect::Absent,
        };
        if let Some(object) = &base {
            self.follow(&decode(object)?);
        }
        match self.write(expect, start).await? {
            Outcome::Done(version) => Ok(version),
            Outcome::Lost(version, winner) => bail!(
                "not published: lost to version {version} published by `{}`; look at its services and publish again",
                winner.author
            ),
        }
    }

    async fn base(&self, start: Instant) -> Result<Option<Object>, Error> {
        loop {
            match self.objects.get(KEY).await {
                Ok(object) => return Ok(object),
                Err(error) if start.elapsed() >= self.patience => return Err(error),
                Err(_) => task::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn follow(&mut self, base: &Config) {
        let mut replaced = vec![base.publish];
        replaced.extend(&base.replaced);
        replaced.truncate(REPLACED_LIMIT);
        self.config.replaced = replaced;
    }

    /// Repeats the same conditional write until its fate is known: of all that carry the same
    /// condition one takes effect at most, whenever they arrive.
    async fn write(&self, expect: Expect, start: Instant) -> Result<Outcome> {
        let value = serde_json::to_vec(&self.config)?;
        let mut was_sent = false;
        loop {
            let error = match self.objects.put(KEY, &value, expect).await {
                Ok(Written::Done(version)) => return Ok(Outcome::Done(version)),
                Ok(Written::Conflict) => return self.settle(start).await,
                Err(error) => error,
            };
            was_sent |= !matches!(error, Error::Down(_));
            if start.elapsed() < self.patience {
                task::sleep(RETRY_PAUSE).await;
                continue;
            }
            if was_sent {
                return Err(eyre!(error)).wrap_err(self.unknown());
            }
            return Err(error).wrap_err("not published: the platform took no write");
        }
    }

    /// Finds out who wrote, after a condition that did not hold.
    async fn settle(&self, start: Instant) -> Result<Outcome> {
        let Some(object) = self.base(start).await.wrap_err_with(|| self.unknown())? else {
            bail!(
                "the configuration was deleted meanwhile; {}",
                self.unknown()
            );
        };
        let winner = decode(&object)?;
        let is_ours = winner.publish == self.config.publish;
        if is_ours || winner.replaced.contains(&self.config.publish) {
            return Ok(Outcome::Done(object.version));
        }
        Ok(Outcome::Lost(object.version, winner))
    }

    fn unknown(&self) -> String {
        format!(
            "it is not known whether publication {:016x} was written; see `almondwell status`",
            self.config.publish
        )
    }
}

fn decode(object: &Object) -> Result<Config> {
    serde_json::from_slice(&object.value)
        .wrap_err_with(|| format!("configuration version {} does not decode", object.version))
}
