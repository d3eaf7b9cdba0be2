//! Processor time and memory of a process, as the system counts them.

use std::io;

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// Use that a process makes of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUse {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ProcessUse {
    /// Reads the use of a process by its id.
    ///
    /// # Errors
    /// When there is no such process, or the system does not tell.
    pub fn of(process: &str) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let untold = || io::Error::other(format!("the system does not tell the use of {process}"));
        Ok(Self {
            cpu_ms: cpu_ms(&stat).ok_or_else(untold)?,
            resident_bytes: resident_bytes(&status).ok_or_else(untold)?,
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
