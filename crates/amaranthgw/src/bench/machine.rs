//! Description of the machine that a benchmark runs on.

use serde::Serialize;

/// Size and load of the machine that a benchmark ran on.
#[derive(Clone, Debug, Serialize)]
pub struct MachineInfo {
    /// Processor cores that the process may use.
    pub cores: usize,
    /// Installed memory in bytes; 0 if the system doesn't report it.
    pub memory_bytes: u64,
    /// Mean number of runnable threads over the last minute; 0 if the system doesn't report it.
    pub load_average: f64,
}

const KIB: u64 = 1_024;

impl MachineInfo {
    /// Reads the values of this machine from the system.
    #[must_use]
    pub fn read() -> Self {
        Self {
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            memory_bytes: second_word("/proc/meminfo").unwrap_or(0) * KIB,
            load_average: load_average().unwrap_or(0.0),
        }
    }
}

fn second_word(path: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    text.split_whitespace().nth(1)?.parse().ok()
}

fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
