//! CPU time and memory of a process, read from `/proc`.

use eyre::{OptionExt, Result, WrapErr};
use std::path::Path;
use std::time::{Duration, Instant};

const PAGE_BYTES: u64 = 4096;

/// Resources that a process has used since it started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// CPU time of its threads, without those that have exited.
    pub(crate) cpu_time: Duration,
    /// Resident memory in bytes.
    pub(crate) memory: u64,
    at: Instant,
}

impl Usage {
    /// Reads the usage of the process with the process identifier `id`.
    pub(crate) fn of(id: u32) -> Result<Self> {
        let process = format!("/proc/{id}");
        let pages: u64 = read_field(&Path::new(&process).join("statm"), 1)?;
        let mut nanos = 0;
        for task in std::fs::read_dir(format!("{process}/task"))? {
            // A thread may exit after the directory was listed.
            nanos += read_field(&task?.path().join("schedstat"), 0).unwrap_or(0);
        }
        Ok(Self {
            cpu_time: Duration::from_nanos(nanos),
            memory: pages * PAGE_BYTES,
            at: Instant::now(),
        })
    }

    /// Mean share of one core used since `earlier`, where 1 is a full core.
    pub(crate) fn share_since(&self, earlier: &Self) -> f64 {
        let cpu_time = self.cpu_time.saturating_sub(earlier.cpu_time);
        cpu_time.as_secs_f64() / (self.at - earlier.at).as_secs_f64()
    }
}

fn read_field(path: &Path, index: usize) -> Result<u64> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read `{}`", path.display()))?;
    let field = text.split_whitespace().nth(index).ok_or_eyre(format!(
        "`{}` has no whitespace-separated field at index {index}",
        path.display()
    ))?;
    Ok(field.parse()?)
}
