//! Randomized soak test of gateways and agents: runs real processes, injects faults from outside
//! and checks what callers and targets observe.
//!
//! Gateways take the requests of the callers, as entries do; one agent runs for each rank, as a
//! sidecar does for its target.
//!
//! `cargo test -p amaranthgw --test soak -- --seeds 1..50` runs the given seeds, the last one too;
//! `--minutes M` runs random ones. `--seconds S` sets the time within which the faults of a seed
//! start. `--gateways N`, `--ranks N` and `--callers N` set the size, `--binary P` the binary, and
//! `--logs` keeps the logs. Without options, the seeds of CI are run.

mod callers;
mod faults;
mod ledger;
mod options;
mod processes;
mod repeats;
mod site;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use options::SoakOptions;

/// Seeds that failed before, each with its cause; a run without options starts with them.
const REGRESSION_SEEDS: [u64; 3] = [
    13,  // the test assigned the same port to two listeners of one gateway
    14,  // a fault waited for the end of a process that another one had relaunched
    316, // a reload was sent to a process that had just been launched and had no handlers yet
];
/// Additional seed of a run without options, as in CI.
const CI_SEED: u64 = 1;

fn main() -> ExitCode {
    let options = SoakOptions::parse(std::env::args().skip(1));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let mut failed = 0_u32;
    let mut passed = 0_u32;
    let mut run = |seed: u64| {
        let violations = runtime.block_on(run_seed(seed, &options));
        for violation in &violations {
            println!("seed {seed}: {violation}");
        }
        if violations.is_empty() {
            passed += 1;
        } else {
            failed += 1;
        }
    };
    if let Some(time) = options.time {
        let began_at = Instant::now();
        while began_at.elapsed() < time {
            run(fastrand::u64(1_000..1_000_000_000));
        }
    } else {
        let seeds = options.seeds.clone().unwrap_or_else(|| {
            let mut seeds = REGRESSION_SEEDS.to_vec();
            seeds.push(CI_SEED);
            seeds
        });
        seeds.into_iter().for_each(run);
    }
    println!("soak: {passed} passed, {failed} failed");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Time after the last fault within which all requests must succeed again.
const RECOVERY_BOUND: Duration = Duration::from_secs(6);

/// Runs the fleet under the faults of `seed` and returns the violations.
async fn run_seed(seed: u64, options: &SoakOptions) -> Vec<String> {
    let site = site::SoakSite::start(seed, options).await;
    let ledger = ledger::CallLedger::new();
    let callers = callers::start_callers(&site, &ledger, seed);
    let plan = faults::FaultPlan::new(seed, options.seconds);
    let log = plan.run(&site, &ledger).await;
    tokio::time::sleep(RECOVERY_BOUND).await;
    let fault_free_since = tokio::time::Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    callers.stop().await;
    let violations = ledger.violations(&site, fault_free_since);
    let (calls, answered) = ledger.counts();
    println!(
        "seed {seed}: {} faults, {calls} calls, {answered} answered, {} violations",
        log.len(),
        violations.len()
    );
    if !violations.is_empty() {
        for line in log {
            println!("seed {seed}: {line}");
        }
    }
    violations
}
