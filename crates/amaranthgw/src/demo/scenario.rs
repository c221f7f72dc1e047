//! Scenario of the demo: a failure domain leaves and returns under load.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, SlotCount};
use amaranthgw_fleet::burn::render_table;
use amaranthgw_fleet::lists::OperatorLists;
use amaranthgw_standins::EngineSettings;

use super::checks::{GuaranteeCheck, check_guarantees, count_dispatches};
use crate::embedded::{
    EmbeddedError, EmbeddedFleet, FleetSpec, LoadPlan, LoadStats, Result, run_load,
};

/// Failure domains of the demo fleet.
const DOMAINS: [&str; 2] = ["tartu-a", "tartu-b"];
/// Failure domain that is taken out of service and brought back.
const MOVED_DOMAIN: &str = "tartu-a";
const CALL_INTERVAL: Duration = Duration::from_millis(25);
const PHASE_DURATION: Duration = Duration::from_secs(3);
const CALL_DEADLINE: Duration = Duration::from_secs(3);
const MAX_TOKENS: u32 = 16;
/// One call in this many goes to the plain service.
const PLAIN_EVERY: u64 = 4;

const CUSTOMERS: &str = r#"{"customers": [{"workspace": "demo", "plan": "gold"}]}"#;
const PLANS: &str = r#"{"plans": [{
  "plan": "gold", "deadline": "3s", "first_token": "1s", "token_gap": "500ms",
  "objective": 9900, "refund_weight": 5,
  "uses": [
    {"service": "draft-llm", "rate": "200/s", "in_flight": 200},
    {"service": "booking-desk", "rate": "200/s", "in_flight": 200}
  ]
}]}"#;

/// Runs the scenario, prints its progress and returns whether every guarantee held.
pub(super) async fn run() -> Result<bool> {
    println!("starting 2 entries and 6 targets with their sidecars in 2 failure domains");
    let fleet = EmbeddedFleet::start(spec(), &lists()?).await?;
    let mut stats = LoadStats::new();

    println!("serving model and plain calls in both failure domains");
    stats.add(&serve(&fleet, "both").await);

    println!("taking {MOVED_DOMAIN} out of service under load");
    let load = tokio::spawn(run_load(plan(&fleet, "leave")));
    let out_time = fleet.take_out(MOVED_DOMAIN).await?;
    let dispatches_when_out = count_dispatches(&fleet, MOVED_DOMAIN).await?;
    stats.add(&load.await.unwrap_or_default());
    println!("  applied by every node after {} ms", out_time.as_millis());
    stats.add(&serve(&fleet, "out").await);
    let dispatches_before_return = count_dispatches(&fleet, MOVED_DOMAIN).await?;

    println!("bringing {MOVED_DOMAIN} back into service under load");
    let load = tokio::spawn(run_load(plan(&fleet, "return")));
    let back_time = fleet.bring_back(MOVED_DOMAIN).await?;
    stats.add(&load.await.unwrap_or_default());
    println!("  applied by every node after {} ms", back_time.as_millis());
    stats.add(&serve(&fleet, "back").await);
    let dispatches_after_return = count_dispatches(&fleet, MOVED_DOMAIN).await?;

    println!();
    print!("{}", render_table(&fleet.burn().await?));
    println!();
    let dispatches = [
        dispatches_when_out,
        dispatches_before_return,
        dispatches_after_return,
    ];
    let checks = check_guarantees(&fleet, &stats, dispatches).await?;
    checks.iter().for_each(GuaranteeCheck::print);
    println!("stopping entries and sidecars after their requests in flight");
    tokio::task::block_in_place(|| fleet.stop())?;
    Ok(checks.iter().all(|check| check.holds))
}

fn spec() -> FleetSpec {
    let engine = EngineSettings::new()
        .with_cold_slots(SlotCount::new(4))
        .with_warm_slots(SlotCount::new(16))
        .with_token_span(MilliSpan::new(5));
    FleetSpec::new(DOMAINS.to_vec())
        .with_engine(engine)
        .with_limits(SlotCount::new(4), SlotCount::new(16))
}

fn lists() -> Result<OperatorLists> {
    let lists = OperatorLists::parse(CUSTOMERS, "demo customers", PLANS, "demo plans");
    lists.map_err(|_refused| EmbeddedError::NotReady)
}

fn plan(fleet: &EmbeddedFleet, name: &str) -> LoadPlan {
    LoadPlan {
        name: name.to_owned(),
        entries: fleet.caller_addresses(),
        interval: CALL_INTERVAL,
        duration: PHASE_DURATION,
        plain_every: PLAIN_EVERY,
        max_tokens: MAX_TOKENS,
        deadline: CALL_DEADLINE,
    }
}

async fn serve(fleet: &EmbeddedFleet, name: &str) -> LoadStats {
    run_load(plan(fleet, name)).await
}
