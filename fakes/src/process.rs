//! Child processes of tests and benchmarks.

use eyre::{Result, WrapErr, bail, ensure};
use std::io::PipeWriter;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// A child process that is killed when dropped.
pub struct Process {
    arguments: Vec<String>,
    child: Child,
    program: String,
}

impl Process {
    /// Starts `program` of this workspace.
    pub fn start(program: &str, arguments: &[String]) -> Result<Self> {
        Ok(Self {
            arguments: arguments.to_vec(),
            child: spawn(program, arguments)?,
            program: program.to_string(),
        })
    }

    /// Starts `program` of this workspace with its standard output redirected to `output`.
    pub fn start_with_output(
        program: &str,
        arguments: &[String],
        output: impl Into<Stdio>,
    ) -> Result<Self> {
        let mut command = command(program, arguments)?;
        command.stdout(output);
        Ok(Self {
            arguments: arguments.to_vec(),
            child: start(&mut command, program)?,
            program: program.to_string(),
        })
    }

    /// Starts `program` of this workspace with its standard output and standard error redirected to `output`.
    pub fn start_with_all_output(
        program: &str,
        arguments: &[String],
        output: PipeWriter,
    ) -> Result<Self> {
        let mut command = command(program, arguments)?;
        command.stdout(output.try_clone()?).stderr(output);
        Ok(Self {
            arguments: arguments.to_vec(),
            child: start(&mut command, program)?,
            program: program.to_string(),
        })
    }

    /// Kills the process and starts it again with the same arguments.
    pub fn restart(&mut self) -> Result<()> {
        self.kill();
        self.child = spawn(&self.program, &self.arguments)?;
        Ok(())
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Peak resident memory of the process in KiB, from `/proc`.
    pub fn peak_memory(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().next());
        match value {
            Some(value) => Ok(value.parse()?),
            None => bail!("/proc/{}/status has no valid `VmHWM` line", self.id()),
        }
    }

    /// Sends SIGKILL and waits for the process to end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the signal `name`, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let mut command = Command::new("kill");
        command.args([format!("-{name}"), self.id().to_string()]);
        let status = spawn_exclusively(&mut command)?.wait()?;
        ensure!(
            status.success(),
            "cannot send SIG{name} to process {}",
            self.id()
        );
        Ok(())
    }

    /// Exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits up to `limit` for the process to end.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.exit_status() {
                return Ok(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        bail!("process {} did not end within {limit:?}", self.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &str, arguments: &[String]) -> Result<Child> {
    start(&mut command(program, arguments)?, program)
}

fn command(program: &str, arguments: &[String]) -> Result<Command> {
    let mut command = Command::new(path(program)?);
    command.args(arguments).stdin(Stdio::null());
    if std::env::var_os("ALMONDWELL_LOGS").is_none() {
        command.stdout(Stdio::null()).stderr(Stdio::null());
    }
    Ok(command)
}

fn start(command: &mut Command, program: &str) -> Result<Child> {
    spawn_exclusively(command).wrap_err_with(|| format!("cannot start `{program}`"))
}

/// Held while a process is forked or an address is checked: a forked process holds all sockets until it runs its
/// program, so that an address whose check has ended would still be in use.
static FORK: Mutex<()> = Mutex::new(());

/// Runs a command to its end; returns its output.
pub fn output(command: &mut Command) -> std::io::Result<Output> {
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    spawn_exclusively(command)?.wait_with_output()
}

/// Starts a process while no address is checked; returns after it runs its program.
fn spawn_exclusively(command: &mut Command) -> std::io::Result<Child> {
    let _guard = FORK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Path of the workspace program `name`, built in the profile of the current process.
pub fn path(name: &str) -> Result<PathBuf> {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    if let Some(folder) = FOLDER.get() {
        return Ok(folder.join(name));
    }
    let folder = build()?;
    Ok(FOLDER.get_or_init(|| folder).join(name))
}

/// Builds the programs of the workspace and returns their folder.
fn build() -> Result<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "--workspace", "--bins"])
        .current_dir(root);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    ensure!(
        spawn_exclusively(&mut command)?.wait()?.success(),
        "`cargo build --workspace --bins` failed"
    );
    let exe = std::env::current_exe()?;
    let folder = exe.ancestors().find(|folder| {
        folder
            .file_name()
            .is_some_and(|name| name == "debug" || name == "release")
    });
    match folder {
        Some(folder) => Ok(folder.to_path_buf()),
        None => bail!(
            "`{}` is not in a `debug` or `release` folder",
            exe.display()
        ),
    }
}

/// A loopback address that is free for TCP and UDP.
pub fn free_address() -> Result<SocketAddr> {
    const FIRST_PORT: u64 = 10_000;
    const PORT_COUNT: u64 = 22_000;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let _guard = FORK.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = (u64::from(std::process::id()) * 127 + step) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free port on 127.0.0.1 among {PORT_COUNT} from {FIRST_PORT}")
}
