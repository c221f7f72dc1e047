//! Quality of service while a failure domain leaves and returns under constant load.

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
/// Failure domain that is taken out of service and brought back.
const MOVED_DOMAIN: &str = "tartu-a";
/// Engines in each failure domain.
const ENGINES_PER_DOMAIN: usize = 2;
/// Maximum requests in flight at a cold engine; one more crashes it.
const COLD_SLOTS: SlotCount = SlotCount::new(2);
/// Maximum requests in flight at a warm engine; one more crashes it.
const FULL_SLOTS: SlotCount = SlotCount::new(8);
/// Requests that an engine must finish to become warm: as many answers as a gate needs before it
/// raises its limit.
const EARLY_WARM_AFTER: u64 = 4;
/// Requests that an engine must finish to become warm: more answers than a gate needs before it
/// raises its limit.
const LATE_WARM_AFTER: u64 = 32;
const MAX_TOKENS: u32 = 16;
const TOKEN_SPAN: MilliSpan = MilliSpan::new(5);
const PREFILL_SPAN: MilliSpan = MilliSpan::new(40);
/// A call takes 40 + 16 x 5 = 120 ms, so the four engines that stay in service serve 267 calls/s
/// with 8 slots each; this load is 63 % of that.
const CALL_INTERVAL: Duration = Duration::from_millis(6);
const CALL_DEADLINE: Duration = Duration::from_secs(1);
/// Duration of the load before the measured one.
const WARM_UP_DURATION: Duration = Duration::from_secs(8);
/// Time from the start of the load until the failure domain is taken out.
const TAKE_OUT_AT: Duration = Duration::from_secs(3);
/// New work in the failure domain counts as an error from this long after it was taken out.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time from the start of the load until the failure domain is brought back.
const BRING_BACK_AT: Duration = Duration::from_secs(12);
/// Duration of the measured load.
const LOAD_DURATION: Duration = Duration::from_secs(24);

/// A routing policy with the gate and engine settings it is measured with.
#[derive(Clone, Copy, Debug)]
struct MoveCase {
    policy: PolicyChoice,
    /// Whether the gates start at the limit of a cold engine instead of the full limit.
    has_slow_start: bool,
    /// Finished requests after which a cold engine becomes warm.
    warm_after: u64,
}

impl MoveCase {
    const fn new(policy: PolicyChoice, has_slow_start: bool, warm_after: u64) -> Self {
        Self {
            policy,
            has_slow_start,
            warm_after,
        }
    }

    const fn cold_limit(self) -> SlotCount {
        if self.has_slow_start {
            COLD_SLOTS
        } else {
            FULL_SLOTS
        }
    }
}

const CASES: [MoveCase; 5] = [
    MoveCase::new(PolicyChoice::Locality, true, EARLY_WARM_AFTER),
    MoveCase::new(PolicyChoice::Locality, false, EARLY_WARM_AFTER),
    MoveCase::new(PolicyChoice::LeastLoaded, false, EARLY_WARM_AFTER),
    MoveCase::new(PolicyChoice::RoundRobin, false, EARLY_WARM_AFTER),
    MoveCase::new(PolicyChoice::Locality, true, LATE_WARM_AFTER),
];

/// Results of one case.
struct MoveOutcome {
    stats: LoadStats,
    out_time: Duration,
    back_time: Duration,
    dispatches_while_out: usize,
    returned_dispatches: usize,
    crashes: usize,
}

/// Measures every case under the same load.
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
    run_load(plan(&fleet, "warm-up", WARM_UP_DURATION)).await;
    let outcome = move_domain(&fleet).await;
    tokio::task::block_in_place(|| fleet.stop())?;
    outcome
}

async fn move_domain(fleet: &EmbeddedFleet) -> Result<MoveOutcome> {
    let crashes_before = count_events(fleet, "fall_over", |_| true).await?;
    let is_in_moved_domain = |target: &FleetTarget| target.domain == MOVED_DOMAIN;
    let started_at = Instant::now();
    let load = tokio::spawn(run_load(plan(fleet, "move", LOAD_DURATION)));
    sleep_until(started_at + TAKE_OUT_AT).await;
    let out_time = fleet.take_out(MOVED_DOMAIN).await?;
    sleep(SETTLE_TIME.saturating_sub(out_time)).await;
    let dispatches_settled = count_events(fleet, "hand_over", is_in_moved_domain).await?;
    for target in fleet
        .targets()
        .iter()
        .filter(|target| is_in_moved_domain(target))
    {
        target.turn_cold().await?;
    }
    sleep_until(started_at + BRING_BACK_AT).await;
    let dispatches_before_return = count_events(fleet, "hand_over", is_in_moved_domain).await?;
    let back_time = fleet.bring_back(MOVED_DOMAIN).await?;
    let stats = load
        .await
        .map_err(|_panicked| BenchError::Malformed { value: "the load" })?;
    Ok(MoveOutcome {
        stats,
        out_time,
        back_time,
        dispatches_while_out: dispatches_before_return - dispatches_settled,
        returned_dispatches: count_events(fleet, "hand_over", is_in_moved_domain).await?
            - dispatches_before_return,
        crashes: count_events(fleet, "fall_over", |_| true).await? - crashes_before,
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
        .with_targets(ENGINES_PER_DOMAIN, 0)
        .with_engine(engine)
        .with_limits(case.cold_limit(), FULL_SLOTS)
        .with_policy(case.policy)
}

/// Calls every engine directly until it is warm, so that all cases start in the same state.
async fn warm_engines(fleet: &EmbeddedFleet) {
    for target in fleet.targets() {
        let caller = LoadCaller::new(target.address());
        for index in 0..LATE_WARM_AFTER {
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
        deadline: CALL_DEADLINE,
    }
}

async fn count_events(
    fleet: &EmbeddedFleet,
    event: &str,
    is_included: impl Fn(&FleetTarget) -> bool,
) -> Result<usize> {
    let mut events = 0;
    let engines = fleet.targets().iter();
    for target in engines.filter(|target| target.service == MODEL_SERVICE && is_included(target)) {
        events += target.count_events(event).await?;
    }
    Ok(events)
}

/// Error codes of requests that ran or may have run.
const EXECUTED_CODES: [&str; 3] = ["target_failed", "outcome_unknown", "no_answer"];

fn row(case: MoveCase, outcome: &MoveOutcome) -> Vec<BenchCell> {
    let stats = &outcome.stats;
    let errors = stats.errors.values().sum::<u64>();
    let failed: u64 = EXECUTED_CODES
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
    let domain_counts = [
        outcome.dispatches_while_out,
        outcome.returned_dispatches,
        outcome.crashes,
    ];
    let gates = if case.has_slow_start {
        "ramped"
    } else {
        "full"
    };
    let mut cells = vec![BenchCell::text(case.policy.name()), BenchCell::text(gates)];
    cells.push(BenchCell::Count(case.warm_after));
    cells.extend(counts.map(BenchCell::Count));
    cells.extend(domain_counts.map(BenchCell::count));
    cells.extend([millis(outcome.out_time), millis(outcome.back_time)]);
    cells.extend([quantile(0.5), quantile(0.99)]);
    cells
}
