use std::fs;
use std::time::Duration;

use super::Error;

/// Ticks per second of the CPU times in `/proc/PID/stat`. Linux fixes this value at 100 in its
/// interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields after the program's name: the name is field 2 and the
/// user time field 14.
const USER_TIME_INDEX: usize = 11;

/// CPU time that a process has used so far, and its memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// User and system time of all threads, with a resolution of 10 ms.
    pub cpu_time: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with this id from `/proc`.
    ///
    /// # Errors
    ///
    /// The process has exited, or the files do not have the form that proc(5) describes.
    pub fn read(process_id: u32) -> Result<Self, Error> {
        let stat = format!("/proc/{process_id}/stat");
        let status = format!("/proc/{process_id}/status");
        let cpu_time = parse_cpu_time(&read_file(&stat)?).ok_or(Error::Malformed(stat))?;
        let resident_kib =
            parse_resident_kib(&read_file(&status)?).ok_or(Error::Malformed(status))?;
        Ok(Self { cpu_time, resident_kib })
    }
}

fn read_file(path: &str) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|err| Error::Io(path.to_owned(), err))
}

/// Parses the user and system time from `/proc/PID/stat`. The program's name is in parentheses and
/// may contain spaces, so fields are counted after the last parenthesis.
fn parse_cpu_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut tick_counts = fields.split(' ').skip(USER_TIME_INDEX).map(str::parse::<u32>);
    let user_ticks = tick_counts.next()?.ok()?;
    let system_ticks = tick_counts.next()?.ok()?;
    Some(Duration::from_secs_f64(f64::from(user_ticks + system_ticks) / TICKS_PER_SECOND))
}

/// Parses the resident memory in KiB from `/proc/PID/status`.
fn parse_resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}
