//! One target of the subset, with what a decision reads of it.

use std::time::Duration;

use tokio::time::Instant;

use super::hash::{hash_text, mix};
use super::{ServiceKind, TargetRoute, TargetStage};

/// Limit assumed of a target at full capacity that has not reported one.
const UNREPORTED_WARM_LIMIT: f32 = 8.0;
/// Limit assumed of a warming target that has not reported one.
const UNREPORTED_WARMING_LIMIT: f32 = 1.0;
/// Age at which a report of a model engine, whose answers run for seconds, counts half.
const MODEL_HALF_TRUST_AGE: Duration = Duration::from_secs(1);
/// Age at which a report of a plain service, whose calls are short, counts half.
const PLAIN_HALF_TRUST_AGE: Duration = Duration::from_millis(250);
/// Age beyond which a target is no longer held to be slow, so that it is tried again.
const SLOW_MEMORY: Duration = Duration::from_secs(10);
/// How many times its peers' median a slow target takes to its first chunk.
const SLOW_FACTOR: u32 = 3;
/// How much longer than the median a slow target takes at least.
const SLOW_MARGIN: Duration = Duration::from_millis(20);
/// Part of its weight that a slow target keeps.
const SLOW_WEIGHT: f32 = 0.05;
/// Largest noise of a comparison, as a multiple of the mean utilisation by other entries.
const MAX_NOISE: f32 = 4.0;
/// Utilisation that a slow target is charged on top of its own.
const SLOW_CHARGE: f32 = 0.5;

/// One target of the subset.
#[derive(Clone, Debug)]
pub(super) struct CandidateRow {
    /// Position among the targets of the service.
    pub index: usize,
    /// Hash of the target's identifier.
    pub id_hash: u64,
    /// Requests that its gate admits, as far as known.
    pub limit: f32,
    /// Whether it answers far later than its peers.
    pub is_slow: bool,
    others: f32,
    expected_others: f32,
    reported_at: Option<Instant>,
    half_trust_age: Duration,
    first_chunk: Option<Duration>,
}

/// How well a target suits a request; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FitClass {
    /// It has room and can answer in time.
    Fit,
    /// Its gate is probably full.
    Full,
    /// It probably answers too late.
    TooLate,
}

/// The judgement of one target for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct FitScore {
    /// Whether the target suits at all.
    pub class: FitClass,
    /// Estimated share of its limit in use, with charges.
    pub utilisation: f32,
}

impl FitScore {
    /// Whether a target with this score goes before one with `other`.
    pub fn is_better(self, other: Self) -> bool {
        match self.class.cmp(&other.class) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => self.utilisation < other.utilisation,
            std::cmp::Ordering::Greater => false,
        }
    }
}

impl CandidateRow {
    /// Creates the row of the target at `index` from what it last reported.
    pub fn new(kind: ServiceKind, index: usize, route: &TargetRoute) -> Self {
        let half_trust_age = match kind {
            ServiceKind::Model => MODEL_HALF_TRUST_AGE,
            ServiceKind::Plain => PLAIN_HALF_TRUST_AGE,
        };
        let assumed_limit = match route.stage {
            TargetStage::Warming => UNREPORTED_WARMING_LIMIT,
            _ => UNREPORTED_WARM_LIMIT,
        };
        let load = route.load;
        let others = |load: super::LoadHint| {
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
            others: load.map_or(0.0, others),
            expected_others: 0.0,
            reported_at: load.map(|load| load.reported_at),
            half_trust_age,
            first_chunk: load.map(|load| first_chunk(load.first_chunk_ms)),
        }
    }

    /// Reported load from other entries, if there was a report.
    pub fn reported_others(&self) -> Option<f32> {
        self.reported_at.map(|_| self.others)
    }

    /// Time to the first chunk by the last report, unless it is too old at `now`.
    ///
    /// A target that looks slow gets few requests and so few new reports; forgetting lets it
    /// be tried again.
    pub fn recent_first_chunk(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.reported_at?);
        self.first_chunk.filter(|_| age <= SLOW_MEMORY)
    }

    /// Sets what the row depends on beyond its own report: the others' load in use of each slot
    /// over the subset and the median time to the first chunk.
    pub fn set_peers(&mut self, others_per_slot: f32, median: Option<Duration>, now: Instant) {
        self.expected_others = others_per_slot * self.limit;
        let recent = self.recent_first_chunk(now);
        self.is_slow = median
            .zip(recent)
            .is_some_and(|(median, own)| own > median * SLOW_FACTOR && own > median + SLOW_MARGIN);
    }

    /// Weight in draws: in proportion to what the gate admits.
    pub fn weight(&self) -> f32 {
        let keep = if self.is_slow { SLOW_WEIGHT } else { 1.0 };
        self.limit * keep
    }

    /// Rank as the home of a prompt prefix; the lowest rank is the home (weighted rendezvous
    /// hashing).
    ///
    /// Each target is home to a part of the prefixes in proportion to its weight, and a change
    /// of one weight moves only prefixes from or to that target.
    pub fn home_rank(&self, prefix_hash: u64) -> f32 {
        let draw = as_unit(mix(prefix_hash ^ self.id_hash));
        -draw.ln() / self.weight()
    }

    /// Requests in flight at the target, estimated for `now`.
    ///
    /// The older the report, the more the estimate leans to the mean of the subset, so that many
    /// entries do not follow one old report. The entry's own requests are always known.
    pub fn estimated_load(&self, own: u32, now: Instant) -> f32 {
        let trust = self.trust(now);
        let others = trust * self.others + (1.0 - trust) * self.expected_others;
        others + as_load(own)
    }

    /// How much the report still counts at `now`, from 0 for none to 1 for a fresh one.
    fn trust(&self, now: Instant) -> f32 {
        self.reported_at.map_or(0.0, |reported_at| {
            let age = now.saturating_duration_since(reported_at);
            let half_age = self.half_trust_age;
            half_age.as_secs_f32() / (half_age + age).as_secs_f32()
        })
    }

    /// Random utilisation by which a comparison at `now` may be off.
    ///
    /// Old reports are alike at every entry. Without noise all of them would prefer the same
    /// targets until the next report, however small the difference.
    pub fn noise(&self, now: Instant) -> f32 {
        let spread = self.expected_others / self.limit.max(1.0);
        let doubt = 1.0 - self.trust(now);
        spread * doubt * MAX_NOISE * fastrand::f32()
    }

    /// Judges the target for a request due at `deadline`, with `own` requests of this entry in
    /// flight there.
    pub fn score(&self, own: u32, deadline: Instant, now: Instant) -> FitScore {
        let load = self.estimated_load(own, now);
        let charge = if self.is_slow { SLOW_CHARGE } else { 0.0 };
        let first_chunk = self.recent_first_chunk(now);
        let is_late = first_chunk.is_some_and(|span| now + span > deadline);
        let class = if is_late {
            FitClass::TooLate
        } else if load + 1.0 > self.limit {
            FitClass::Full
        } else {
            FitClass::Fit
        };
        FitScore {
            class,
            utilisation: load / self.limit.max(1.0) + charge,
        }
    }
}

fn first_chunk(millis: f32) -> Duration {
    const MAX_SECONDS: f32 = 3_600.0;
    let seconds = (millis / 1_000.0).clamp(0.0, MAX_SECONDS);
    Duration::try_from_secs_f32(seconds).unwrap_or(Duration::ZERO)
}

/// Maps a hash to a number between 0 and 1, both excluded.
#[expect(clippy::cast_precision_loss, reason = "24 bits are kept")]
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
