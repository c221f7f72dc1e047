//! Processor time of the threads of embedded nodes.

use std::collections::BTreeSet;
use std::time::Duration;

/// Processor time of the threads of some nodes, by what the threads do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeTimes {
    /// Of the traffic threads.
    pub traffic: Duration,
    /// Of the control threads.
    pub control: Duration,
}

impl NodeTimes {
    /// Adds the times of `other`.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            traffic: self.traffic + other.traffic,
            control: self.control + other.control,
        }
    }

    /// Times since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            traffic: self.traffic.saturating_sub(earlier.traffic),
            control: self.control.saturating_sub(earlier.control),
        }
    }
}

/// Threads of one node of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct NodeThreads {
    ids: BTreeSet<u32>,
}

impl NodeThreads {
    /// Runs `start` and gives the threads that are there only after it.
    pub(super) fn started_by<T>(start: impl FnOnce() -> T) -> (T, Self) {
        let before = thread_ids();
        let started = start();
        let ids = thread_ids().difference(&before).copied().collect();
        (started, Self { ids })
    }

    /// Processor time of the threads until now.
    pub(super) fn times(&self) -> NodeTimes {
        let mut times = NodeTimes::default();
        for id in &self.ids {
            let spent = thread_time(*id).unwrap_or_default();
            match thread_name(*id) {
                Some(name) if name.starts_with("traffic-") => times.traffic += spent,
                Some(name) if name == "control" => times.control += spent,
                _ => {}
            }
        }
        times
    }
}

fn thread_ids() -> BTreeSet<u32> {
    let Ok(listed) = std::fs::read_dir("/proc/self/task") else {
        return BTreeSet::new();
    };
    let names = listed.filter_map(|row| row.ok()?.file_name().into_string().ok());
    names.filter_map(|name| name.parse().ok()).collect()
}

fn thread_name(id: u32) -> Option<String> {
    let text = std::fs::read_to_string(format!("/proc/self/task/{id}/comm")).ok()?;
    Some(text.trim_end().to_owned())
}

/// Time on a processor by the scheduler's count, which is in nanoseconds.
fn thread_time(id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/self/task/{id}/schedstat")).ok()?;
    let nanos = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}
