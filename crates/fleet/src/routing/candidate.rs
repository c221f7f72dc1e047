//! Load estimate, weight and score of one target of the subset.

use std::time::Duration;

use tokio::time::Instant;

use super::hash::{hash_text, mix};
use super::{ServiceKind, TargetRoute, TargetStage};

/// Concurrency limit assumed for a warm target that has not reported one.
const UNREPORTED_WARM_LIMIT: f32 = 8.0;
/// Concurrency limit assumed for a warming target that has not reported one.
const UNREPORTED_WARMING_LIMIT: f32 = 1.0;
/// Age at which a model engine's report has half its weight; the engine's answers take
/// seconds.
const MODEL_HALF_CONFIDENCE_AGE: Duration = Duration::from_secs(1);
/// Age at which a plain service's report has half its weight; the service's calls are
/// short.
const PLAIN_HALF_CONFIDENCE_AGE: Duration = Duration::from_millis(250);
/// Age after which a report no longer marks a target as slow, so that it is tried again.
const SLOW_MAX_AGE: Duration = Duration::from_secs(10);
/// Multiple of the subset's median time to first chunk above which a target is slow.
const SLOW_FACTOR: u32 = 3;
/// Excess over the median that a slow target must have as well.
const SLOW_MARGIN: Duration = Duration::from_millis(20);
/// Fraction of its weight that a slow target keeps.
const SLOW_WEIGHT: f32 = 0.05;
/// Maximum random utilisation added in a comparison, as a multiple of the mean utilisation
/// caused by other entries.
const MAX_NOISE_FACTOR: f32 = 4.0;
/// Utilisation added to the score of a slow target.
const SLOW_PENALTY: f32 = 0.5;

/// A target of the subset with its last report.
#[derive(Clone, Debug)]
pub(super) struct CandidateRow {
    /// Index among the targets of the service.
    pub index: usize,
    /// Hash of the target's identifier.
    pub id_hash: u64,
    /// Concurrent requests that its gate admits, as reported or assumed.
    pub limit: f32,
    /// Whether its time to first chunk is far above the subset's median.
    pub is_slow: bool,
    /// Requests of other entries as reported.
    others_in_flight: f32,
    /// Requests of other entries as expected from the subset's mean.
    expected_others: f32,
    reported_at: Option<Instant>,
    half_confidence_age: Duration,
    time_to_first_chunk: Option<Duration>,
}

/// Suitability of a target for a request; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FitClass {
    /// It probably has a free slot and is not expected to send its first chunk after the deadline.
    Fit,
    /// Its gate is probably full.
    Full,
    /// Its first chunk would probably arrive after the deadline.
    TooLate,
}

/// Score of one target for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct FitScore {
    /// Suitability, compared first.
    pub class: FitClass,
    /// Estimated fraction of its limit in use, plus penalties.
    pub utilisation: f32,
}

impl FitScore {
    /// Whether this score is preferred over `other`.
    pub fn is_better(self, other: Self) -> bool {
        match self.class.cmp(&other.class) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => self.utilisation < other.utilisation,
            std::cmp::Ordering::Greater => false,
        }
    }
}

impl CandidateRow {
    /// Creates the row of the target at `index` from its last report.
    pub fn new(kind: ServiceKind, index: usize, route: &TargetRoute) -> Self {
        let half_confidence_age = match kind {
            ServiceKind::Model => MODEL_HALF_CONFIDENCE_AGE,
            ServiceKind::Plain => PLAIN_HALF_CONFIDENCE_AGE,
        };
        let assumed_limit = match route.stage {
            TargetStage::Warming => UNREPORTED_WARMING_LIMIT,
            _ => UNREPORTED_WARM_LIMIT,
        };
        let load = route.load;
        let others = |load: super::LoadReport| {
            let others = load
                .in_flight
                .get()
                .saturating_sub(load.own_in_flight.get());
            as_load(others)
        };
        Self {
            index,
            id_hash: hash_text(route.target.as_str()),
            limit: load.map_or(assumed_limit, |load| as_load(load.limit.get())),
            is_slow: false,
            others_in_flight: load.map_or(0.0, others),
            expected_others: 0.0,
            reported_at: load.map(|load| load.reported_at),
            half_confidence_age,
            time_to_first_chunk: load.map(|load| first_chunk_time(load.first_chunk_ms)),
        }
    }

    /// Requests in flight from other entries, if the target has reported.
    pub fn reported_others(&self) -> Option<f32> {
        self.reported_at.map(|_| self.others_in_flight)
    }

    /// Time to first chunk in the last report, unless it has expired at `now`.
    ///
    /// A slow target receives few requests and therefore sends few reports; expiry lets it be tried
    /// again.
    pub fn recent_first_chunk(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.reported_at?);
        self.time_to_first_chunk.filter(|_| age <= SLOW_MAX_AGE)
    }

    /// Sets the values derived from the whole subset: the load from other entries per slot, and
    /// whether the target is slow compared with the `median` time to first chunk.
    pub fn set_subset_values(
        &mut self,
        others_per_slot: f32,
        median: Option<Duration>,
        now: Instant,
    ) {
        self.expected_others = others_per_slot * self.limit;
        let recent = self.recent_first_chunk(now);
        self.is_slow = median
            .zip(recent)
            .is_some_and(|(median, own)| own > median * SLOW_FACTOR && own > median + SLOW_MARGIN);
    }

    /// Sampling weight: the concurrency limit, reduced for a slow target.
    pub fn weight(&self) -> f32 {
        let keep = if self.is_slow { SLOW_WEIGHT } else { 1.0 };
        self.limit * keep
    }

    /// Score of the target for a prompt prefix; the target with the lowest score serves the prefix
    /// (weighted rendezvous hashing).
    ///
    /// Each target serves a share of the prefixes proportional to its weight, and a change of one
    /// weight only moves prefixes from or to that target.
    pub fn rendezvous_score(&self, prefix_hash: u64) -> f32 {
        let draw = as_unit(mix(prefix_hash ^ self.id_hash));
        -draw.ln() / self.weight()
    }

    /// Estimates the requests in flight at the target at `now`; `own` is this entry's exact count.
    ///
    /// The older the report, the closer the estimate is to the mean of the subset, so that many
    /// entries do not all follow the same stale report.
    pub fn estimated_load(&self, own: u32, now: Instant) -> f32 {
        let confidence = self.confidence(now);
        let others = confidence * self.others_in_flight + (1.0 - confidence) * self.expected_others;
        others + as_load(own)
    }

    /// Weight of the report at `now`: 1 if fresh, towards 0 with age, 0 without a report.
    fn confidence(&self, now: Instant) -> f32 {
        self.reported_at.map_or(0.0, |reported_at| {
            let age = now.saturating_duration_since(reported_at);
            let half_age = self.half_confidence_age;
            half_age.as_secs_f32() / (half_age + age).as_secs_f32()
        })
    }

    /// Random utilisation to add in a comparison at `now`, larger for older reports.
    ///
    /// All entries have the same reports. Without noise, they would all prefer the same targets
    /// until the next report, however small the difference.
    pub fn noise(&self, now: Instant) -> f32 {
        let spread = self.expected_others / self.limit.max(1.0);
        let uncertainty = 1.0 - self.confidence(now);
        spread * uncertainty * MAX_NOISE_FACTOR * fastrand::f32()
    }

    /// Scores the target for a request due at `deadline`, with `own` requests of this entry in
    /// flight there.
    pub fn score(&self, own: u32, deadline: Instant, now: Instant) -> FitScore {
        let load = self.estimated_load(own, now);
        let penalty = if self.is_slow { SLOW_PENALTY } else { 0.0 };
        let time_to_first_chunk = self.recent_first_chunk(now);
        let is_late = time_to_first_chunk.is_some_and(|span| now + span > deadline);
        let class = if is_late {
            FitClass::TooLate
        } else if load + 1.0 > self.limit {
            FitClass::Full
        } else {
            FitClass::Fit
        };
        FitScore {
            class,
            utilisation: load / self.limit.max(1.0) + penalty,
        }
    }
}

fn first_chunk_time(millis: f32) -> Duration {
    const MAX_SECONDS: f32 = 3_600.0;
    let seconds = (millis / 1_000.0).clamp(0.0, MAX_SECONDS);
    Duration::try_from_secs_f32(seconds).unwrap_or(Duration::ZERO)
}

/// Maps a hash to the open interval from 0 to 1.
#[expect(
    clippy::cast_precision_loss,
    reason = "23 bits are kept, which f32 holds exactly with the half"
)]
fn as_unit(hash: u64) -> f32 {
    const KEPT_BITS: u32 = 23;
    const HALF: f32 = 0.5;
    let kept = hash >> (u64::BITS - KEPT_BITS);
    (kept as f32 + HALF) / (1_u32 << KEPT_BITS) as f32
}

#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^24")]
fn as_load(count: u32) -> f32 {
    count as f32
}
