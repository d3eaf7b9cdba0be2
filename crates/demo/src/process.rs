//! Child processes of a fleet, and free ports for them.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
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
            let _no_port_is_probed = lock_ports();
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
const FIRST_PORT: u16 = 10_000;
/// Number of ports that a program reserves at once.
const RANGE_PORTS: u16 = 250;
/// Number of ranges of ports.
const RANGE_COUNT: u16 = 80;
/// Largest number of ranges that one program reserves, so that others have some.
const MAX_RESERVED_RANGES: usize = 9;

/// Ports that this program gives its processes.
///
/// Held while a child process is started, too: a child holds the sockets of its parent until its program is
/// executed, so that a port probed meanwhile would still be in use when its own process binds it.
static PORTS: Mutex<PortRanges> = Mutex::new(PortRanges::new());

/// Ranges of ports that belong to one program. A process that is stopped for a while keeps its port: another
/// program that starts processes meanwhile has other ranges.
pub struct PortRanges {
    /// Listeners on the first port of each range, by which other programs find it reserved.
    reserved: Vec<TcpListener>,
    /// First port of the range in use, and the number of ports of it that were given.
    current: Option<(u16, u16)>,
    /// Position in `reserved` of the range that is used again once no other one can be reserved.
    next_again: usize,
}

impl PortRanges {
    /// No range yet.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            reserved: Vec::new(),
            current: None,
            next_again: 0,
        }
    }

    /// Returns the next address, which may be in use by another server.
    ///
    /// # Errors
    /// If all ranges are reserved by other programs.
    pub fn next_address(&mut self) -> io::Result<SocketAddr> {
        let (first, given) = match self.current {
            Some((first, given)) if given + 1 < RANGE_PORTS => (first, given + 1),
            _ => (self.next_range()?, 1),
        };
        self.current = Some((first, given));
        Ok((Ipv4Addr::LOCALHOST, first + given).into())
    }

    /// Reserves another range, or returns to one that was used before. Returns its first port.
    fn next_range(&mut self) -> io::Result<u16> {
        if self.reserved.len() < MAX_RESERVED_RANGES {
            let start = std::process::id() % u32::from(RANGE_COUNT);
            let start = u16::try_from(start).unwrap_or_default();
            for offset in 0..RANGE_COUNT {
                let range = (start + offset) % RANGE_COUNT;
                let first = FIRST_PORT + range * RANGE_PORTS;
                if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                    self.reserved.push(listener);
                    return Ok(first);
                }
            }
        }
        let Some(again) = self.reserved.get(self.next_again) else {
            return Err(no_free_ports());
        };
        self.next_again = (self.next_again + 1) % self.reserved.len();
        Ok(again.local_addr()?.port())
    }
}

impl Default for PortRanges {
    fn default() -> Self {
        Self::new()
    }
}

fn lock_ports() -> MutexGuard<'static, PortRanges> {
    PORTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Number of ports that are tried before there are too few.
fn most_tries() -> usize {
    usize::from(RANGE_PORTS) * MAX_RESERVED_RANGES
}

/// Binds a listener to a free loopback port, for a server in this process.
///
/// # Errors
/// If no port is free.
pub fn free_listener() -> io::Result<TcpListener> {
    let mut ports = lock_ports();
    for _ in 0..most_tries() {
        if let Ok(listener) = TcpListener::bind(ports.next_address()?) {
            return Ok(listener);
        }
    }
    Err(no_free_ports())
}

/// Returns `count` free loopback addresses, different from each other and from those of earlier
/// calls in this process until all its ranges, 9 of 250 ports, have been tried. They can be bound at once if
/// this process starts its children by [`Process::start`] only.
///
/// # Errors
/// If there are not enough free ports.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut ports = lock_ports();
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..most_tries() {
        if addresses.len() == count {
            return Ok(addresses);
        }
        let address = ports.next_address()?;
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    Err(no_free_ports())
}

fn no_free_ports() -> io::Error {
    io::Error::other("no free ports; stop programs that listen on ports from 10000 to 29999")
}
