//! Per-thread processor time of embedded nodes, read from `/proc`.

use std::collections::BTreeSet;
use std::time::Duration;

/// Processor time of the threads of one or more nodes, by kind of thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorTimes {
    /// Processor time of the traffic threads.
    pub traffic: Duration,
    /// Processor time of the control threads.
    pub control: Duration,
}

impl ProcessorTimes {
    /// Adds the times of `other`, separately for traffic and control threads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            traffic: self.traffic + other.traffic,
            control: self.control + other.control,
        }
    }

    /// Returns the time used since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            traffic: self.traffic.saturating_sub(earlier.traffic),
            control: self.control.saturating_sub(earlier.control),
        }
    }
}

/// Thread ids of one node of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct NodeThreads {
    ids: BTreeSet<u32>,
}

impl NodeThreads {
    /// Runs `start` and returns its result with the threads that exist only after it.
    pub(super) fn spawned_by<T>(start: impl FnOnce() -> T) -> (T, Self) {
        let before = thread_ids();
        let started = start();
        let ids = thread_ids().difference(&before).copied().collect();
        (started, Self { ids })
    }

    /// Processor time that the threads have used since their start.
    pub(super) fn times(&self) -> ProcessorTimes {
        let mut times = ProcessorTimes::default();
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
    let names = listed.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    names.filter_map(|name| name.parse().ok()).collect()
}

fn thread_name(id: u32) -> Option<String> {
    let text = std::fs::read_to_string(format!("/proc/self/task/{id}/comm")).ok()?;
    Some(text.trim_end().to_owned())
}

/// Processor time of a thread; the first field of `schedstat` counts nanoseconds.
fn thread_time(id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/self/task/{id}/schedstat")).ok()?;
    let nanos = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}
