//! Service while a failure domain leaves and returns under a steady load.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, SlotCount};
use amaranthgw_standins::EngineSettings;
use tokio::time::{Instant, sleep, sleep_until};

use super::lists::unlimited_lists;
use super::{BenchCell, BenchError, BenchTable, Result};
use crate::embedded::{
    EmbeddedFleet, FleetSpec, FleetTarget, LoadCaller, LoadPlan, LoadStats, MODEL_SERVICE,
    PolicyChoice, run_load,
};

const DOMAINS: [&str; 3] = ["tartu-a", "tartu-b", "elva-c"];
/// The one that goes out and comes back.
const MOVED: &str = "tartu-a";
/// Engines in each failure domain.
const ENGINES: usize = 2;
const COLD_SLOTS: SlotCount = SlotCount::new(2);
const FULL_SLOTS: SlotCount = SlotCount::new(8);
/// Answers after which the gates raise their limit at the earliest.
const SOON_WARM: u64 = 4;
/// More answers than the gates wait for.
const LATE_WARM: u64 = 32;
const MAX_TOKENS: u32 = 16;
const TOKEN_SPAN: MilliSpan = MilliSpan::new(5);
const PREFILL_SPAN: MilliSpan = MilliSpan::new(40);
/// With 120 ms an answer, four warm engines carry 267 calls/s; this load is 63 % of that.
const CALL_INTERVAL: Duration = Duration::from_millis(6);
const DEADLINE: Duration = Duration::from_secs(1);
/// Load before the one that counts.
const WARM_UP: Duration = Duration::from_secs(8);
/// Time from the start of the load until the failure domain is taken out.
const LEAVE_AT: Duration = Duration::from_secs(3);
/// Time from the change to where new work in the failure domain counts as wrong.
const SETTLE: Duration = Duration::from_secs(3);
/// Time from the start of the load until the failure domain is brought back.
const RETURN_AT: Duration = Duration::from_secs(12);
/// Length of the load.
const LENGTH: Duration = Duration::from_secs(24);

/// A policy with the gates and engines it is measured with.
#[derive(Clone, Copy, Debug)]
struct MoveCase {
    policy: PolicyChoice,
    /// Whether the gates start at what a cold engine bears.
    is_ramped: bool,
    /// Finished requests after which a cold engine bears its full load.
    warm_after: u64,
}

impl MoveCase {
    const fn new(policy: PolicyChoice, is_ramped: bool, warm_after: u64) -> Self {
        Self {
            policy,
            is_ramped,
            warm_after,
        }
    }

    const fn cold_limit(self) -> SlotCount {
        if self.is_ramped {
            COLD_SLOTS
        } else {
            FULL_SLOTS
        }
    }
}

const CASES: [MoveCase; 5] = [
    MoveCase::new(PolicyChoice::Locality, true, SOON_WARM),
    MoveCase::new(PolicyChoice::Locality, false, SOON_WARM),
    MoveCase::new(PolicyChoice::LeastLoaded, false, SOON_WARM),
    MoveCase::new(PolicyChoice::RoundRobin, false, SOON_WARM),
    MoveCase::new(PolicyChoice::Locality, true, LATE_WARM),
];

/// What one case gave.
struct MoveOutcome {
    stats: LoadStats,
    out_after: Duration,
    back_after: Duration,
    late_work: usize,
    returned_work: usize,
    fall_overs: usize,
}

/// Measures every policy under the same load.
pub(super) async fn measure() -> Result<Vec<BenchTable>> {
    let mut table = BenchTable::new(
        "Failure domain that leaves and returns with cold engines",
        &[
            "policy",
            "gates",
            "warm after",
            "calls",
            "on time",
            "late",
            "not run",
            "failed",
            "cut",
            "wrong",
            "work sent in after 3 s",
            "work after return",
            "fell over",
            "out in force ms",
            "back in force ms",
            "total p50 ms",
            "total p99 ms",
        ],
    );
    for case in CASES {
        let outcome = run(case).await?;
        table.push(row(case, &outcome));
    }
    Ok(vec![table])
}

async fn run(case: MoveCase) -> Result<MoveOutcome> {
    let fleet = EmbeddedFleet::start(spec(case), &unlimited_lists()?).await?;
    warm_engines(&fleet).await;
    run_load(plan(&fleet, "warm-up", WARM_UP)).await;
    let outcome = move_domain(&fleet).await;
    tokio::task::block_in_place(|| fleet.stop())?;
    outcome
}

async fn move_domain(fleet: &EmbeddedFleet) -> Result<MoveOutcome> {
    let before = count(fleet, "fall_over", |_| true).await?;
    let is_moved = |target: &FleetTarget| target.domain == MOVED;
    let started_at = Instant::now();
    let load = tokio::spawn(run_load(plan(fleet, "move", LENGTH)));
    sleep_until(started_at + LEAVE_AT).await;
    let out_after = fleet.take_out(MOVED).await?;
    sleep(SETTLE.saturating_sub(out_after)).await;
    let settled = count(fleet, "hand_over", is_moved).await?;
    for target in fleet.targets().iter().filter(|row| is_moved(row)) {
        target.turn_cold().await?;
    }
    sleep_until(started_at + RETURN_AT).await;
    let returning = count(fleet, "hand_over", is_moved).await?;
    let back_after = fleet.bring_back(MOVED).await?;
    let stats = load
        .await
        .map_err(|_panicked| BenchError::Malformed { value: "the load" })?;
    Ok(MoveOutcome {
        stats,
        out_after,
        back_after,
        late_work: returning - settled,
        returned_work: count(fleet, "hand_over", is_moved).await? - returning,
        fall_overs: count(fleet, "fall_over", |_| true).await? - before,
    })
}

fn spec(case: MoveCase) -> FleetSpec {
    let engine = EngineSettings::new()
        .with_cold_slots(COLD_SLOTS)
        .with_warm_slots(FULL_SLOTS)
        .with_warm_after(case.warm_after)
        .with_token_span(TOKEN_SPAN)
        .with_prefill_span(PREFILL_SPAN);
    FleetSpec::new(DOMAINS.to_vec())
        .with_targets(ENGINES, 0)
        .with_engine(engine)
        .with_limits(case.cold_limit(), FULL_SLOTS)
        .with_policy(case.policy)
}

/// Calls every engine itself until it is warm, so that each case starts alike.
async fn warm_engines(fleet: &EmbeddedFleet) {
    for target in fleet.targets() {
        let caller = LoadCaller::new(target.address());
        for index in 0..LATE_WARM {
            let request = format!("warm-{index}");
            let _answer = caller.generate_directly(&request, "warm", 1).await;
        }
    }
}

fn plan(fleet: &EmbeddedFleet, name: &str, duration: Duration) -> LoadPlan {
    LoadPlan {
        name: name.to_owned(),
        entries: fleet.caller_addresses(),
        interval: CALL_INTERVAL,
        duration,
        plain_every: 0,
        max_tokens: MAX_TOKENS,
        deadline: DEADLINE,
    }
}

async fn count(
    fleet: &EmbeddedFleet,
    event: &str,
    is_meant: impl Fn(&FleetTarget) -> bool,
) -> Result<usize> {
    let mut sum = 0;
    let engines = fleet.targets().iter();
    for target in engines.filter(|row| row.service == MODEL_SERVICE && is_meant(row)) {
        sum += target.count_events(event).await?;
    }
    Ok(sum)
}

/// Codes of errors whose request ran or may have run.
const RAN_CODES: [&str; 3] = ["target_failed", "outcome_unknown", "no_answer"];

fn row(case: MoveCase, outcome: &MoveOutcome) -> Vec<BenchCell> {
    let stats = &outcome.stats;
    let errors = stats.errors.values().sum::<u64>();
    let failed: u64 = RAN_CODES
        .iter()
        .filter_map(|code| stats.errors.get(*code))
        .sum();
    let millis = |time: Duration| BenchCell::Number(time.as_secs_f64() * 1e3);
    let quantile = |at| millis(Duration::from_micros(stats.total.value_at_quantile(at)));
    let counts = [
        stats.calls,
        stats.on_time,
        stats.late,
        errors - failed,
        failed,
        stats.cut,
        stats.wrong,
    ];
    let works = [outcome.late_work, outcome.returned_work, outcome.fall_overs];
    let gates = if case.is_ramped { "ramped" } else { "full" };
    let mut cells = vec![BenchCell::text(case.policy.name()), BenchCell::text(gates)];
    cells.push(BenchCell::Count(case.warm_after));
    cells.extend(counts.map(BenchCell::Count));
    cells.extend(works.map(BenchCell::count));
    cells.extend([millis(outcome.out_after), millis(outcome.back_after)]);
    cells.extend([quantile(0.5), quantile(0.99)]);
    cells
}
