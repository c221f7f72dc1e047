//! Scheduling of a node's reads from the key-value service and of its pulls from peers.

use std::time::Duration;

use amaranthgw_core::{ChangeNumber, MilliSpan, VmId};
use tokio::time::Instant;

use super::RelayTopology;
use super::relay::WATCHERS_PER_DOMAIN;

/// Longest wait of one watch; the end of each watch confirms that nothing newer is stored.
pub const WATCH_WAIT: MilliSpan = MilliSpan::new(2_000);
/// Delay between a failed read of a watcher and its next one, before jitter.
pub const WATCH_RETRY_DELAY: MilliSpan = MilliSpan::new(1_000);
/// Time without a confirmation after which nodes that don't watch start fallback reads.
pub const CONFIRMATION_TIMEOUT: MilliSpan = MilliSpan::new(5_000);
/// Minimum time over which the first fallback reads of all nodes are staggered.
pub const MIN_FIRST_READ_STAGGER: MilliSpan = MilliSpan::new(2_000);
/// Fallback reads per second of the whole fleet while reads succeed.
pub const FALLBACK_READ_BUDGET: u64 = 1_000;
/// Minimum time between two fallback reads of a node, before jitter.
pub const MIN_READ_INTERVAL: MilliSpan = MilliSpan::new(2_000);
/// Fallback reads per second of the whole fleet while reads fail.
pub const OUTAGE_READ_BUDGET: u64 = 200;
/// Time after which a call without a reply counts as failed.
pub const CALL_TIMEOUT: MilliSpan = MilliSpan::new(10_000);
/// Delay between learning of a change and pulling it, as a push of it is probably on its way.
pub const PULL_DELAY: MilliSpan = MilliSpan::new(100);
/// Interval of the pulls of a change.
pub const PULL_RETRY_INTERVAL: MilliSpan = MilliSpan::new(500);
/// Number of pulls after which a node stops until the change is announced again.
pub const MAX_PULLS: u32 = 8;

/// Outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// The read returned a newer log, or a watch ended without a change.
    Done,
    /// The read returned the known log; a watch returns it only if the service answers at once
    /// instead of waiting for a change.
    Repeated,
    /// The read failed or returned nothing usable.
    Failed,
}

/// Schedules the reads from the key-value service.
#[derive(Debug)]
pub(super) struct ReadSchedule {
    random: fastrand::Rng,
    started_at: Instant,
    pending_since: Option<Instant>,
    next_at: Instant,
}

impl ReadSchedule {
    pub(super) fn new(seed: u64, now: Instant) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            started_at: now,
            pending_since: None,
            next_at: now,
        }
    }

    /// Whether the next read is due; `confirmed_at` is the time of the last confirmation.
    pub(super) fn is_due(
        &self,
        relay: &RelayTopology,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        let is_pending = |since: Instant| now < since + CALL_TIMEOUT.duration();
        if self.pending_since.is_some_and(is_pending) || now < self.next_at {
            return false;
        }
        relay.is_watcher() || now >= self.first_read_at(relay, confirmed_at)
    }

    /// Records the start of a call.
    pub(super) const fn start(&mut self, now: Instant) {
        self.pending_since = Some(now);
    }

    /// Records the end of a call and schedules the next one.
    pub(super) fn finish(&mut self, outcome: ReadOutcome, relay: &RelayTopology, now: Instant) {
        self.pending_since = None;
        let wait = match (relay.is_watcher(), outcome) {
            (true, ReadOutcome::Done) => Duration::ZERO,
            (true, _) => self.jittered(WATCH_RETRY_DELAY.duration()),
            (false, ReadOutcome::Failed) => {
                self.jittered(budgeted_span(relay, OUTAGE_READ_BUDGET, MIN_READ_INTERVAL))
            }
            (false, _) => self.jittered(budgeted_span(
                relay,
                FALLBACK_READ_BUDGET,
                MIN_READ_INTERVAL,
            )),
        };
        self.next_at = now + wait;
    }

    /// Time of the first fallback read of a node that doesn't watch.
    fn first_read_at(&self, relay: &RelayTopology, confirmed_at: Option<Instant>) -> Instant {
        let index = relay.position().saturating_sub(WATCHERS_PER_DOMAIN);
        let window = budgeted_span(relay, FALLBACK_READ_BUDGET, MIN_FIRST_READ_STAGGER);
        let share = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let stagger = window * share(index) / share(relay.domain_size().max(1));
        let since = confirmed_at.unwrap_or(self.started_at);
        since + CONFIRMATION_TIMEOUT.duration() + stagger
    }

    /// `span` multiplied by a random factor from 0.5 to 1.5.
    fn jittered(&mut self, span: Duration) -> Duration {
        span.mul_f64(0.5 + self.random.f64())
    }
}

/// Time in which every node of the fleet can read once at `budget` reads per second, at least
/// `shortest`.
fn budgeted_span(relay: &RelayTopology, budget: u64, shortest: MilliSpan) -> Duration {
    let fleet_size = relay.fleet_size() as u64;
    let budgeted = Duration::from_millis(fleet_size * 1_000 / budget);
    budgeted.max(shortest.duration())
}

/// Schedules the pulls of changes that peers have announced.
#[derive(Debug)]
pub(super) struct PullSchedule {
    random: fastrand::Rng,
    announced: ChangeNumber,
    announcer: Option<VmId>,
    pulls: u32,
    next_at: Instant,
}

impl PullSchedule {
    pub(super) fn new(seed: u64, now: Instant) -> Self {
        Self {
            random: fastrand::Rng::with_seed(!seed),
            announced: ChangeNumber::default(),
            announcer: None,
            pulls: 0,
            next_at: now,
        }
    }

    /// Records that `peer` has applied the change `number`.
    pub(super) fn record_announcement(&mut self, peer: &VmId, number: ChangeNumber, now: Instant) {
        if number > self.announced || self.pulls >= MAX_PULLS {
            self.pulls = 0;
            self.next_at = self.next_at.max(now + PULL_DELAY.duration());
        }
        self.announced = self.announced.max(number);
        self.announcer = Some(peer.clone());
    }

    /// Whether a change after `number` was announced and may still be pulled.
    pub(super) fn is_behind(&self, number: ChangeNumber) -> bool {
        self.announced > number && self.pulls < MAX_PULLS
    }

    /// Returns the peer to pull from at `now`, if a pull is due. Every other pull goes to the
    /// announcer.
    pub(super) fn next_peer(&mut self, successors: &[VmId], now: Instant) -> Option<VmId> {
        if now < self.next_at {
            return None;
        }
        let is_announcer_turn = self.pulls.is_multiple_of(2);
        let announcer = self.announcer.clone().filter(|_| is_announcer_turn);
        let peer = announcer.or_else(|| self.random.choice(successors).cloned())?;
        self.pulls = self.pulls.saturating_add(1);
        self.next_at = now + PULL_RETRY_INTERVAL.duration();
        Some(peer)
    }
}
