//! Processes of a fleet, ended with the fleet.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::role::Role;

/// Argument that precedes a role.
pub const ROLE_ARGUMENT: &str = "--play-role";

/// A process; killed when dropped.
pub struct Process {
    child: Child,
    is_over: bool,
}

impl Process {
    /// Starts `program` in a role, with what it writes in a file.
    ///
    /// # Errors
    /// When the process cannot be started.
    pub fn start(program: &Path, role: &Role, log: &Path) -> io::Result<Self> {
        let role = serde_json::to_string(role)?;
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args([ROLE_ARGUMENT, &role])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            is_over: false,
        })
    }

    /// Sends a signal.
    ///
    /// # Panics
    /// When the system gives process ids that do not fit.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("ids of processes fit");
        if let Err(error) = kill(Pid::from_raw(id), signal) {
            eprintln!("{signal} did not reach process {id}: {error}");
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.is_over = true;
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.is_over = self.is_over || matches!(self.child.try_wait(), Ok(Some(_)));
        self.is_over
    }

    /// Lets the process go on after its owner ends.
    pub fn leave_running(&mut self) {
        self.is_over = true;
    }

    /// Id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.is_over {
            self.kill();
        }
    }
}

/// First port given out and number of ports: below those that the kernel gives to outgoing
/// connections (from 32,768 on), which would take a port between its choice and its use.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;
/// Ports given out by this process.
static GIVEN: AtomicU32 = AtomicU32::new(0);

/// A listener at a free address on loopback. Unlike an address alone it cannot be lost: a process that
/// is started at that moment holds the sockets of its parent for a while.
///
/// # Errors
/// When there are no free ports.
pub fn free_listener() -> io::Result<TcpListener> {
    for _ in 0..PORTS {
        if let Ok(listener) = TcpListener::bind(next_address()) {
            return Ok(listener);
        }
    }
    Err(no_free_ports())
}

/// Free addresses on loopback, all different, also from those of earlier calls.
///
/// # Errors
/// When there are no free ports.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..PORTS {
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
    io::Error::other("no free ports; end programs that listen")
}

/// Processes start at different ports.
fn next_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(977);
    let given = GIVEN.fetch_add(1, Ordering::Relaxed);
    let offset = start.wrapping_add(given) % PORTS;
    let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
    (Ipv4Addr::LOCALHOST, port).into()
}
