//! What the demo does, step by step.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, SlotCount};
use amaranthgw_fleet::burn::render_table;
use amaranthgw_fleet::lists::OperatorLists;
use amaranthgw_standins::EngineSettings;

use super::checks::{PromiseCheck, count_work, judge};
use crate::embedded::{
    EmbeddedError, EmbeddedFleet, FleetSpec, LoadPlan, LoadStats, Result, run_load,
};

/// Failure domains of the demo.
const DOMAINS: [&str; 2] = ["tartu-a", "tartu-b"];
/// The one that goes out and comes back.
const MOVED: &str = "tartu-a";
const CALL_INTERVAL: Duration = Duration::from_millis(25);
const PHASE_DURATION: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_secs(3);
const MAX_TOKENS: u32 = 16;
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

/// Starts the fleet, moves a failure domain under load and prints the outcome.
pub(super) async fn tell() -> Result<bool> {
    println!("starting 2 entries and 6 targets with their sidecars in 2 failure domains");
    let fleet = EmbeddedFleet::start(spec(), &lists()?).await?;
    let mut stats = LoadStats::new();

    println!("serving both kinds of call in both failure domains");
    stats.add(&serve(&fleet, "both").await);

    println!("taking {MOVED} out under load");
    let load = tokio::spawn(run_load(plan(&fleet, "leave")));
    let out_after = fleet.take_out(MOVED).await?;
    let work_when_out = count_work(&fleet, MOVED).await?;
    stats.add(&load.await.unwrap_or_default());
    println!(
        "  in force on every node after {} ms",
        out_after.as_millis()
    );
    stats.add(&serve(&fleet, "out").await);
    let work_while_out = count_work(&fleet, MOVED).await?;

    println!("bringing {MOVED} back under load");
    let load = tokio::spawn(run_load(plan(&fleet, "return")));
    let back_after = fleet.bring_back(MOVED).await?;
    stats.add(&load.await.unwrap_or_default());
    println!(
        "  in force on every node after {} ms",
        back_after.as_millis()
    );
    stats.add(&serve(&fleet, "back").await);
    let work_after_return = count_work(&fleet, MOVED).await?;

    println!();
    print!("{}", render_table(&fleet.burn().await?));
    println!();
    let work = [work_when_out, work_while_out, work_after_return];
    let checks = judge(&fleet, &stats, work).await?;
    checks.iter().for_each(PromiseCheck::print);
    println!("stopping without cutting anything off");
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
        deadline: DEADLINE,
    }
}

async fn serve(fleet: &EmbeddedFleet, name: &str) -> LoadStats {
    run_load(plan(fleet, name)).await
}
