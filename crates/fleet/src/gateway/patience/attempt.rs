//! Decides what becomes of an attempt whose target sends nothing.

use std::time::Duration;

use super::facts::{AttemptFacts, AttemptStage, GroupHealth, RunCount};
use super::verdict::{EndCause, PatienceVerdict, SearchCause, StayCause};
use crate::gateway::{RouteKind, RouteRow};

/// Silence after which another target is sought for a stream; longer than the stalls from which a rank
/// group recovers by itself.
const STREAM_SILENCE: Duration = Duration::from_millis(1_650);
/// Time that a plain request waits at one target, in multiples of its route's latency objective.
const PLAIN_OBJECTIVES: u32 = 3;
/// Silence of all targets of a service after which a stream stays where it is: their rank groups are
/// stalled, so no other target would answer sooner.
const SERVICE_SILENCE: Duration = Duration::from_millis(500);
/// Time between two searches for another target.
const SEARCH_PAUSE: Duration = Duration::from_millis(500);
/// Largest number of sends of one request, including those that targets rejected.
const MAX_SENDS: u32 = 4;

/// Decides how long a request of one route waits for a target, from what is known of the attempt.
///
/// Whether the process stops is no input: a stop neither shortens nor prolongs what callers wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPatience {
    kind: RouteKind,
    may_run_again: bool,
    max_runs: u32,
    objective: Duration,
}

impl AttemptPatience {
    /// Largest number of sends of one request, including those that targets rejected.
    pub const MAX_SENDS: u32 = MAX_SENDS;

    /// Creates the patience of requests on `route`.
    #[must_use]
    pub const fn new(route: &RouteRow) -> Self {
        Self {
            kind: route.kind,
            may_run_again: route.may_run_again(),
            max_runs: route.max_attempts,
            objective: route.objective.duration(),
        }
    }

    /// Makes requests stay with their target that must not run again for another reason than their route.
    #[must_use]
    pub const fn with_single_run(mut self, is_single: bool) -> Self {
        self.may_run_again = self.may_run_again && !is_single;
        self
    }

    /// Whether a request that may have run may run once more after `count`.
    #[must_use]
    pub const fn allows_run(&self, count: RunCount) -> bool {
        self.may_run_again && count.runs < self.max_runs && count.sends < MAX_SENDS
    }

    /// Whether a target that has been silent for `silent_for` is doubted if nothing else is known.
    #[must_use]
    pub fn is_silent(&self, silent_for: Duration) -> bool {
        silent_for >= self.silence_limit()
    }

    /// Decides what becomes of an attempt of which `facts` are known.
    #[must_use]
    pub fn decide(&self, facts: &AttemptFacts) -> PatienceVerdict {
        if facts.left.is_zero() {
            return PatienceVerdict::End(EndCause::Deadline);
        }
        if facts.is_convicted && facts.stage == AttemptStage::Waiting {
            return PatienceVerdict::End(EndCause::CrashesTargets);
        }
        match self.search_cause(facts) {
            Ok(cause) => PatienceVerdict::Search(cause),
            Err(cause) => PatienceVerdict::Stay(cause),
        }
    }

    /// Why another target is sought, or why not.
    fn search_cause(&self, facts: &AttemptFacts) -> Result<SearchCause, StayCause> {
        let cause = self.doubt(facts).ok_or(StayCause::Fresh)?;
        if !self.may_run_again {
            return Err(StayCause::RunsOnce);
        }
        if !self.allows_run(facts.count) {
            return Err(StayCause::NoRunLeft);
        }
        if facts.sought_before.is_some_and(|ago| ago < SEARCH_PAUSE) {
            return Err(StayCause::SoughtLately);
        }
        if cause == SearchCause::StalledGroup {
            return Ok(cause);
        }
        if self.is_stream() && facts.service_silent_for >= SERVICE_SILENCE {
            return Err(StayCause::SilentService);
        }
        if facts.is_queued() {
            return Err(StayCause::Queued);
        }
        Ok(cause)
    }

    /// Why it is doubtful that the target answers; `None` if it isn't.
    fn doubt(&self, facts: &AttemptFacts) -> Option<SearchCause> {
        if self.is_stream() && facts.group == GroupHealth::StalledAlone {
            return Some(SearchCause::StalledGroup);
        }
        self.is_silent(facts.silent_for)
            .then_some(SearchCause::SilentTarget)
    }

    fn is_stream(&self) -> bool {
        self.kind == RouteKind::Streaming
    }

    /// Silence after which a target that should answer is doubted.
    fn silence_limit(&self) -> Duration {
        match self.kind {
            RouteKind::Streaming => STREAM_SILENCE,
            RouteKind::Idempotent | RouteKind::NonIdempotent => self.objective * PLAIN_OBJECTIVES,
        }
    }
}

impl AttemptFacts {
    /// Whether the target's silence is explained by its queue. An answer may have been lost as well, so
    /// this holds for the first half of the time that the request has had at the target.
    fn is_queued(&self) -> bool {
        self.is_full && self.stage == AttemptStage::Waiting && self.silent_for < self.left
    }
}
