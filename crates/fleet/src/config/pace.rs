//! When a node reads the key-value service and when it asks peers.

use std::time::Duration;

use amaranthgw_core::{ChangeNumber, MilliSpan, VmId};
use tokio::time::Instant;

use super::RelayPlan;
use super::relay::WATCHERS_PER_DOMAIN;

/// Longest wait of one watch; each end of it confirms that nothing newer is stored.
pub const WATCH_WAIT: MilliSpan = MilliSpan::new(2_000);
/// Time from a failed read of a watcher to its next one, before jitter.
pub const WATCH_RETRY: MilliSpan = MilliSpan::new(1_000);
/// Time without a confirmation after which nodes that do not watch begin to read.
pub const QUIET_LIMIT: MilliSpan = MilliSpan::new(5_000);
/// Shortest time over which the nodes of a quiet fleet spread their first reads.
pub const FIRST_READ_SPREAD: MilliSpan = MilliSpan::new(2_000);
/// Reads per second that all nodes of a quiet fleet may make together while they succeed.
pub const QUIET_READ_BUDGET: u64 = 1_000;
/// Shortest time between two reads of a node that does not watch, before jitter.
pub const READ_INTERVAL: MilliSpan = MilliSpan::new(2_000);
/// Reads per second that all nodes of a quiet fleet may make together while they fail.
pub const OUTAGE_READ_BUDGET: u64 = 200;
/// Time after which an unanswered call counts as failed.
pub const CALL_TIMEOUT: MilliSpan = MilliSpan::new(10_000);
/// Time from hearing of a change to asking for it, as it is likely on its way.
pub const PULL_DELAY: MilliSpan = MilliSpan::new(100);
/// Time between two requests for a change.
pub const PULL_RETRY: MilliSpan = MilliSpan::new(500);
/// Requests for a change after which a node waits to hear of it again.
pub const MAX_PULLS: u32 = 8;

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// It brought a newer log, or waited in vain for one.
    Done,
    /// It brought at once what was known already.
    Repeated,
    /// It brought nothing that can be used.
    Failed,
}

/// Paces the reads of the key-value service.
#[derive(Debug)]
pub(super) struct ReadPace {
    random: fastrand::Rng,
    started_at: Instant,
    open_since: Option<Instant>,
    next_at: Instant,
}

impl ReadPace {
    pub(super) fn new(seed: u64, now: Instant) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            started_at: now,
            open_since: None,
            next_at: now,
        }
    }

    /// Whether the next read is due, where the last confirmation dates from `confirmed_at`.
    pub(super) fn is_due(
        &self,
        relay: &RelayPlan,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        let is_open = |since: Instant| now < since + CALL_TIMEOUT.duration();
        if self.open_since.is_some_and(is_open) || now < self.next_at {
            return false;
        }
        relay.is_watcher() || now >= self.quiet_until(relay, confirmed_at)
    }

    /// Notes that a call begins.
    pub(super) const fn start(&mut self, now: Instant) {
        self.open_since = Some(now);
    }

    /// Notes that a call has ended.
    pub(super) fn finish(&mut self, end: ReadEnd, relay: &RelayPlan, now: Instant) {
        self.open_since = None;
        let wait = match (relay.is_watcher(), end) {
            (true, ReadEnd::Done) => Duration::ZERO,
            (true, _) => self.jittered(WATCH_RETRY.duration()),
            (false, ReadEnd::Failed) => {
                self.jittered(budgeted_span(relay, OUTAGE_READ_BUDGET, READ_INTERVAL))
            }
            (false, _) => self.jittered(budgeted_span(relay, QUIET_READ_BUDGET, READ_INTERVAL)),
        };
        self.next_at = now + wait;
    }

    /// When a node that does not watch begins to read.
    fn quiet_until(&self, relay: &RelayPlan, confirmed_at: Option<Instant>) -> Instant {
        let behind = relay.position().saturating_sub(WATCHERS_PER_DOMAIN);
        let spread = budgeted_span(relay, QUIET_READ_BUDGET, FIRST_READ_SPREAD);
        let share = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let stagger = spread * share(behind) / share(relay.domain_size().max(1));
        let since = confirmed_at.unwrap_or(self.started_at);
        since + QUIET_LIMIT.duration() + stagger
    }

    /// `span` with a random half of it taken off or added.
    fn jittered(&mut self, span: Duration) -> Duration {
        span.mul_f64(0.5 + self.random.f64())
    }
}

/// Time in which every node of the fleet can read once at `budget` reads per second.
fn budgeted_span(relay: &RelayPlan, budget: u64, shortest: MilliSpan) -> Duration {
    let fleet_size = relay.fleet_size() as u64;
    let budgeted = Duration::from_millis(fleet_size * 1_000 / budget);
    budgeted.max(shortest.duration())
}

/// Paces the requests for changes that a node has heard of.
#[derive(Debug)]
pub(super) struct PullPace {
    random: fastrand::Rng,
    heard: ChangeNumber,
    informer: Option<VmId>,
    pulls: u32,
    next_at: Instant,
}

impl PullPace {
    pub(super) fn new(seed: u64, now: Instant) -> Self {
        Self {
            random: fastrand::Rng::with_seed(!seed),
            heard: ChangeNumber::default(),
            informer: None,
            pulls: 0,
            next_at: now,
        }
    }

    /// Notes that `peer` has the change `number` in force.
    pub(super) fn hear(&mut self, peer: &VmId, number: ChangeNumber, now: Instant) {
        if number > self.heard || self.pulls >= MAX_PULLS {
            self.pulls = 0;
            self.next_at = self.next_at.max(now + PULL_DELAY.duration());
        }
        self.heard = self.heard.max(number);
        self.informer = Some(peer.clone());
    }

    /// Whether the node has heard of a change beyond `number` and still asks for it.
    pub(super) fn is_behind(&self, number: ChangeNumber) -> bool {
        self.heard > number && self.pulls < MAX_PULLS
    }

    /// The peer to ask at `now`, if a request is due.
    pub(super) fn next_peer(&mut self, successors: &[VmId], now: Instant) -> Option<VmId> {
        if now < self.next_at {
            return None;
        }
        let is_first = self.pulls.is_multiple_of(2);
        let informer = self.informer.clone().filter(|_| is_first);
        let peer = informer.or_else(|| self.random.choice(successors).cloned())?;
        self.pulls = self.pulls.saturating_add(1);
        self.next_at = now + PULL_RETRY.duration();
        Some(peer)
    }
}
