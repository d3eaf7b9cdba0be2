//! CPU time and memory usage of a process, from `/proc`.

use std::io;

/// Unit of CPU times in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceUsage {
    /// User and system CPU time since the start of the process, in milliseconds.
    pub cpu_ms: u64,
    /// Resident set size, in bytes.
    pub resident_bytes: u64,
}

impl ResourceUsage {
    /// Reads the usage of the process with the id `process`.
    ///
    /// # Errors
    /// If there is no such process or its files in `/proc` cannot be parsed.
    pub fn of(process: &str) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let unreadable = || {
            io::Error::other(format!(
                "cannot parse the resource usage of process {process} in /proc"
            ))
        };
        Ok(Self {
            cpu_ms: cpu_ms(&stat).ok_or_else(unreadable)?,
            resident_bytes: resident_bytes(&status).ok_or_else(unreadable)?,
        })
    }
}

fn cpu_ms(stat: &str) -> Option<u64> {
    let after_name = &stat[stat.rfind(')')? + 1..];
    let mut fields = after_name.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * 1_000 / TICKS_PER_SECOND)
}

fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1_024)
}
