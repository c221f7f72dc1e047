//! Choice by the time in which a target would do what it has to do.

use std::time::Duration;

use amaranthgw_core::TokenCount;

use super::fill::{FillPlace, fill_level};
use super::{
    CallWork, ChoiceInput, ChoicePolicy, LeastLoadedPolicy, TargetCandidate, choose_preferred,
    penalty,
};

/// Chooses among the targets at which a request would begin earliest.
///
/// Loads are some hundred milliseconds old, and all gateways know about the same ones. Were each to
/// choose the least loaded target, they would all choose the same until the next reports. Two things keep
/// them apart. The work of the next moments, of all gateways, is thought to fill the targets lowest first; what
/// goes to each is its share, and a gateway sends to the target that it owes most by these shares. And with
/// each request of its own, it assumes that every other gateway sends one as well, by the same shares; these
/// count until a load is known that contains them.
///
/// While targets are not congested, a request begins at once anywhere, and even counts matter more: it goes
/// to the least loaded target, as do requests to services that publish no figures or whose targets' loads are not
/// told.
#[derive(Debug, Default)]
pub struct EarliestBeginPolicy {
    fallback: LeastLoadedPolicy,
}

/// Load, in usual requests, added to a target without memory for the request, as another would be
/// preempted.
const PREEMPTION_PENALTY: f64 = 10.0;
/// Time whose work is thought to fill the targets.
const HORIZON: Duration = Duration::from_millis(100);
/// Part of a usual request that is added to that work, so that nearly equal targets take turns also if there
/// is one gateway only.
const OWN_SHARE: f64 = 0.5;
/// Part of the targets whose loads have to be known at least, as its denominator.
const MIN_REPORTED_PART: usize = 2;

/// Targets of one decision, with what each has to do.
struct FillChoice<'a, 't> {
    work: &'a CallWork<'a>,
    input: &'a ChoiceInput<'a>,
    /// Slot time of a usual request, in seconds.
    usual: f64,
    /// Time of a pass by the figures, in seconds.
    pass_time: f64,
    /// Expected slot time of the request, in seconds.
    own: f64,
    /// Memory of a usual request.
    usual_memory: TokenCount,
    targets: Vec<&'t TargetCandidate>,
    places: Vec<FillPlace>,
}

impl<'a, 't> FillChoice<'a, 't> {
    /// Collects the candidates.
    fn new(
        candidates: &mut dyn Iterator<Item = &'t TargetCandidate>,
        work: &'a CallWork<'a>,
        input: &'a ChoiceInput<'a>,
    ) -> Self {
        let mut choice = Self {
            work,
            input,
            usual: work.engine.usual().slot_time.as_secs_f64(),
            pass_time: work.engine.pass_time().as_secs_f64(),
            own: work.estimate.slot_time.as_secs_f64(),
            usual_memory: work.engine.usual_memory(),
            targets: candidates.collect(),
            places: Vec::new(),
        };
        choice.places = choice.targets.iter().map(|it| choice.place(it)).collect();
        choice.raise_unknown();
        choice
    }

    /// Raises the targets without a fresh load to the mean of the others, as they aren't idle because
    /// nothing is heard of them.
    fn raise_unknown(&mut self) {
        let is_known = |it: &TargetCandidate| it.gauge.is_load_fresh(self.input.now);
        let (mut sum, mut count) = (0.0, 0.0);
        for (target, place) in self.targets.iter().zip(&self.places) {
            if is_known(target) {
                sum += place.height;
                count += 1.0;
            }
        }
        if count > 0.0 {
            let mean = sum / count;
            for (target, place) in self.targets.iter().zip(&mut self.places) {
                if !is_known(target) {
                    place.height = place.height.max(mean);
                }
            }
        }
    }

    fn place(&self, target: &TargetCandidate) -> FillPlace {
        let (now, slots) = (self.input.now, target.record.slots);
        let slowdown = target.slowdown_from(self.pass_time, now);
        let width = f64::from(slots.get().max(1)) / slowdown;
        let mut requests = penalty(target, self.input);
        let memory = self.work.estimate.memory;
        if !target.gauge.has_memory(memory, self.usual_memory, now) {
            requests += PREEMPTION_PENALTY;
        }
        // All ranks of a group wait for the slowest.
        requests += target.gauge.slowdown(now) - 1.0;
        let backlog = target.gauge.backlog(self.usual, slots, slowdown, now);
        let saving = self.work.saving(target, now).as_secs_f64();
        FillPlace {
            // What is saved counts as much as what is waited for.
            height: backlog + (requests * self.usual + self.own) / width - saving,
            width,
        }
    }

    /// Chooses a target that admits the request: the one that is owed most, else the lowest.
    fn choose(&self) -> Option<&'t TargetCandidate> {
        if self.targets.is_empty() {
            return None;
        }
        let busy: f64 = self.places.iter().map(|it| self.busy_slots(it)).sum();
        let coming = busy * HORIZON.as_secs_f64() * self.others_share();
        let level = fill_level(&self.places, coming + self.usual * OWN_SHARE);
        let room: f64 = self.places.iter().map(|it| it.room(level)).sum();
        let owed_most = self.targets[self.most_owed(level, room)];
        let target = if self.admits(owed_most) {
            owed_most
        } else {
            self.lowest_that_admits(owed_most)?
        };
        let _owed = target.gauge.add_credit(-1.0);
        self.foresee(level, room);
        Some(target)
    }

    /// Whether `target` admits the request; counts the request if its rate is limited.
    fn admits(&self, target: &TargetCandidate) -> bool {
        self.input.is_admitted(target) && target.gauge.try_admit_ejected(self.input.now)
    }

    fn lowest_that_admits(&self, except: &TargetCandidate) -> Option<&'t TargetCandidate> {
        let heights = self.places.iter().map(|it| it.height);
        let mut order: Vec<_> = heights.zip(&self.targets).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut others = order.into_iter().map(|(_height, target)| *target);
        others.find(|target| !std::ptr::eq(*target, except) && self.admits(target))
    }

    /// Slots of a target that are in use, judged by what it has to do.
    fn busy_slots(&self, place: &FillPlace) -> f64 {
        (place.height / self.usual).min(1.0) * place.width
    }

    /// Share of all requests that other gateways send.
    fn others_share(&self) -> f64 {
        let gateways = f64::from(self.work.gateways.max(1));
        (gateways - 1.0) / gateways
    }

    /// Adds to what each target is owed its share of the `room` below `level`; returns the one that is owed
    /// most.
    fn most_owed(&self, level: f64, room: f64) -> usize {
        let mut most = (0, f64::MIN);
        for (index, (target, place)) in self.targets.iter().zip(&self.places).enumerate() {
            let part = place.room(level);
            if part > 0.0 {
                let owed = target.gauge.add_credit(part / room);
                if owed > most.1 {
                    most = (index, owed);
                }
            }
        }
        most.0
    }

    /// Counts what the others are thought to send, one request of usual size each.
    fn foresee(&self, level: f64, room: f64) {
        let others = f64::from(self.work.gateways.saturating_sub(1)) * self.usual;
        for (target, place) in self.targets.iter().zip(&self.places) {
            let work = place.room(level) / room * others;
            if work > 0.0 {
                let slot_time = Duration::try_from_secs_f64(work).unwrap_or_default();
                target.gauge.foresee(slot_time, self.input.now);
            }
        }
    }
}

/// Whether the loads of enough `targets` are told by agents.
fn are_reported(targets: &[TargetCandidate], input: &ChoiceInput<'_>) -> bool {
    let is_reported = |target: &&TargetCandidate| target.gauge.is_reported(input.now);
    let reported = targets.iter().filter(is_reported).count();
    reported > 0 && reported >= targets.len() / MIN_REPORTED_PART
}

impl ChoicePolicy for EarliestBeginPolicy {
    fn name(&self) -> &'static str {
        "earliest_begin"
    }

    fn choose<'a>(
        &self,
        targets: &'a [TargetCandidate],
        input: &ChoiceInput<'_>,
    ) -> Option<&'a TargetCandidate> {
        let work = input.work.filter(|work| work.is_congested);
        let work = work.filter(|_| are_reported(targets, input));
        let Some(work) = &work else {
            return self.fallback.choose(targets, input);
        };
        choose_preferred(targets, input, |candidates| {
            FillChoice::new(candidates, work, input).choose()
        })
    }
}
