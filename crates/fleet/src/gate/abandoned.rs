//! Tracking of abandoned calls that the target may still be running.

use std::collections::VecDeque;
use std::time::Duration;

use amaranthgw_core::SlotCount;
use tokio::time::Instant;

use super::{GateSettings, LoadEvidence};

/// Maximum number of call groups; beyond it, the oldest group is merged into the next younger one.
const MAX_GROUPS: usize = 64;

/// Calls that were abandoned at about the same time.
#[derive(Clone, Copy, Debug)]
struct CallGroup {
    abandoned_at: Instant,
    count: u32,
}

/// Upper bound on the calls that still run at the target although nothing waits for them.
///
/// A load report bounds the calls abandoned at least the report margin before its sample: no more
/// of them can be running than the report shows. Calls leave the bound when the settle time has
/// passed.
#[derive(Clone, Debug)]
pub(super) struct AbandonedWork {
    groups: VecDeque<CallGroup>,
    settle_time: Duration,
    report_margin: Duration,
}

impl AbandonedWork {
    pub(super) fn new(settings: &GateSettings) -> Self {
        Self {
            groups: VecDeque::new(),
            settle_time: settings.settle_time.duration(),
            report_margin: settings.report_margin.duration(),
        }
    }

    pub(super) fn count(&self) -> SlotCount {
        let sum = self.groups.iter().map(|group| group.count);
        SlotCount::new(sum.fold(0, u32::saturating_add))
    }

    pub(super) fn add(&mut self, count: SlotCount, abandoned_at: Instant) {
        if count.get() == 0 {
            return;
        }
        self.groups.push_back(CallGroup {
            abandoned_at,
            count: count.get(),
        });
        if self.groups.len() > MAX_GROUPS {
            self.merge_oldest();
        }
    }

    pub(super) fn apply_report(&mut self, load: &LoadEvidence) {
        let margin = self.report_margin;
        let is_covered = |group: &&mut CallGroup| group.abandoned_at + margin <= load.sampled_at;
        let mut still_running = load.in_flight.get();
        for group in self.groups.iter_mut().rev().filter(is_covered) {
            group.count = group.count.min(still_running);
            still_running -= group.count;
        }
        self.groups.retain(|group| group.count > 0);
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let settle_time = self.settle_time;
        self.groups
            .retain(|group| now < group.abandoned_at + settle_time);
    }

    fn merge_oldest(&mut self) {
        let Some(oldest) = self.groups.pop_front() else {
            return;
        };
        if let Some(next) = self.groups.front_mut() {
            next.count = next.count.saturating_add(oldest.count);
        }
    }
}
