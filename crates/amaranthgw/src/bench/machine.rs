//! Size of the machine that a measurement ran on.

use serde::Serialize;

/// Size of the machine that a measurement ran on.
#[derive(Clone, Debug, Serialize)]
pub struct MachineInfo {
    /// Processor cores that the process may use.
    pub cores: usize,
    /// Memory in bytes; 0 where the system does not tell.
    pub memory_bytes: u64,
    /// Mean number of runnable threads over the last minute; 0 where the system does not tell.
    pub load_average: f64,
}

const KIB: u64 = 1_024;

impl MachineInfo {
    /// Asks the system.
    #[must_use]
    pub fn read() -> Self {
        Self {
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            memory_bytes: first_number("/proc/meminfo").unwrap_or(0) * KIB,
            load_average: load_average().unwrap_or(0.0),
        }
    }
}

fn first_number(path: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    text.split_whitespace().nth(1)?.parse().ok()
}

fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
