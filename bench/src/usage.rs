//! Processor time and memory of a process, read from `/proc`.

use eyre::{OptionExt, Result, WrapErr};
use std::path::Path;
use std::time::{Duration, Instant};

/// Bytes of a memory page.
const PAGE: u64 = 4096;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Time its threads have spent on a processor.
    pub(crate) busy: Duration,
    /// Resident memory in bytes.
    pub(crate) memory: u64,
    at: Instant,
}

impl Usage {
    /// Reads the usage of the process `id`.
    pub(crate) fn of(id: u32) -> Result<Self> {
        let process = format!("/proc/{id}");
        let pages: u64 = field(&Path::new(&process).join("statm"), 1)?;
        let mut nanos = 0;
        for task in std::fs::read_dir(format!("{process}/task"))? {
            // A thread may end between the listing and the read.
            nanos += field(&task?.path().join("schedstat"), 0).unwrap_or(0);
        }
        Ok(Self {
            busy: Duration::from_nanos(nanos),
            memory: pages * PAGE,
            at: Instant::now(),
        })
    }

    /// Share of one core used since `earlier`.
    pub(crate) fn share_since(&self, earlier: &Self) -> f64 {
        let busy = self.busy.saturating_sub(earlier.busy);
        busy.as_secs_f64() / (self.at - earlier.at).as_secs_f64()
    }
}

fn field(path: &Path, index: usize) -> Result<u64> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read `{}`", path.display()))?;
    let field = text
        .split_whitespace()
        .nth(index)
        .ok_or_eyre(format!("`{}` has no field {index}", path.display()))?;
    Ok(field.parse()?)
}
