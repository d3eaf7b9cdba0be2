//! Child processes of a fleet, and free ports for them.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::role::Role;

/// Command-line argument that is followed by the JSON of a [`Role`].
pub const ROLE_ARGUMENT: &str = "--play-role";

/// A child process; killed when dropped, unless it was detached.
pub struct Process {
    child: Child,
    /// Whether the process has exited or was detached, so that it is not killed on drop.
    is_finished: bool,
}

impl Process {
    /// Starts `program` in a role; appends its standard output and standard error to the file
    /// `log`.
    ///
    /// # Errors
    /// If the log cannot be opened or the process cannot be started.
    pub fn start(program: &Path, role: &Role, log: &Path) -> io::Result<Self> {
        let role = serde_json::to_string(role)?;
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args([ROLE_ARGUMENT, &role])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = {
            let _started_alone = lock_sockets();
            command.spawn()?
        };
        Ok(Self {
            child,
            is_finished: false,
        })
    }

    /// Sends a signal to the process, as [`signal`] does.
    ///
    /// # Panics
    /// If the process id does not fit into an `i32`.
    pub fn signal(&self, signal: Signal) {
        self::signal(self.child.id(), signal);
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.is_finished = true;
    }

    /// Whether the process has exited or was detached.
    pub fn has_ended(&mut self) -> bool {
        self.is_finished = self.is_finished || matches!(self.child.try_wait(), Ok(Some(_)));
        self.is_finished
    }

    /// Detaches the process: it is no longer killed on drop.
    pub fn leave_running(&mut self) {
        self.is_finished = true;
    }

    /// Id of the process in the operating system.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.is_finished {
            self.kill();
        }
    }
}

/// Sends a signal to the process with this id; prints a failure to standard error.
///
/// # Panics
/// If the process id does not fit into an `i32`.
pub fn signal(process_id: u32, signal: Signal) {
    let id = i32::try_from(process_id).expect("process ids fit into an i32");
    if let Err(error) = kill(Pid::from_raw(id), signal) {
        eprintln!("cannot send {signal} to process {id}: {error}");
    }
}

/// First of the assigned ports. They are all below the ephemeral ports (from 32,768), since an
/// outgoing connection could take an ephemeral port between its choice and its use.
const FIRST_PORT: u32 = 10_000;
/// Number of ports that can be assigned.
const PORT_COUNT: u32 = 20_000;
/// Number of ports that this process has tried.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Held while a child process is started and while ports are probed. A child holds the sockets of its
/// parent until its program is executed, so that a port probed meanwhile would still be in use when its
/// own process binds it.
static SOCKETS: Mutex<()> = Mutex::new(());

fn lock_sockets() -> MutexGuard<'static, ()> {
    SOCKETS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Binds a listener to a free loopback port, for a server in this process.
///
/// # Errors
/// If no port is free.
pub fn free_listener() -> io::Result<TcpListener> {
    for _ in 0..PORT_COUNT {
        if let Ok(listener) = TcpListener::bind(next_address()) {
            return Ok(listener);
        }
    }
    Err(no_free_ports())
}

/// Returns `count` free loopback addresses, different from each other and from those of earlier
/// calls in this process until all 20,000 ports have been tried. They can be bound at once if this
/// process starts its children by [`Process::start`] only.
///
/// # Errors
/// If there are not enough free ports.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let _probed_alone = lock_sockets();
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..PORT_COUNT {
        if addresses.len() == count {
            return Ok(addresses);
        }
        let address = next_address();
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    Err(no_free_ports())
}

fn no_free_ports() -> io::Error {
    io::Error::other("no free ports; stop programs that listen on ports from 10000 to 29999")
}

/// Returns the next port to try. The first one depends on the process id, so that processes that
/// run at the same time try different ports.
fn next_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(977);
    let tried = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
    let offset = start.wrapping_add(tried) % PORT_COUNT;
    let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
    (Ipv4Addr::LOCALHOST, port).into()
}
