//! Processor time and memory of this process, as the system counts them.

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// Use that a process makes of the machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUse {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ProcessUse {
    /// Reads the use of this process; zero where the system does not tell.
    #[must_use]
    pub fn read() -> Self {
        Self::of("self")
    }

    /// Reads the use of a process by its id; zero where the system does not tell.
    #[must_use]
    pub fn of(process: &str) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let status = std::fs::read_to_string(format!("/proc/{process}/status"));
        let status = status.unwrap_or_default();
        Self {
            cpu_ms: cpu_ms(&stat).unwrap_or(0),
            resident_bytes: resident_bytes(&status).unwrap_or(0),
        }
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
