//! Measures how fast a change is in force on many sidecar processes, and what they cost at idle.
//!
//! `spread PROCESSES [BINARY]` starts that many processes of the binary, by default the one built
//! beside this example, with stand-ins for the platform and one plain service as their target.

mod cost;
mod fleet;
mod process;

use std::time::Duration;

use amaranthgw::bench::MachineInfo;
use eyre::WrapErr;
use tokio::runtime::Builder;
use tokio::time::sleep;

use fleet::SpreadFleet;

/// Changes measured in each mode of the key-value service.
const CHANGES: usize = 15;
/// Time between two changes.
const CHANGE_GAP: Duration = Duration::from_millis(400);
/// Time over which idle processes are watched.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Time for connections and watches to come to rest.
const REST_TIME: Duration = Duration::from_secs(3);
const DEFAULT_PROCESSES: usize = 150;
const SLOW_MS: u64 = 500;

fn main() -> eyre::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let processes = arguments.next().map(|text| text.parse()).transpose()?;
    let binary = arguments
        .next()
        .map_or_else(process::built_binary, |path| Ok(path.into()))?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(measure(processes.unwrap_or(DEFAULT_PROCESSES), &binary))
}

async fn measure(processes: usize, binary: &std::path::Path) -> eyre::Result<()> {
    let machine = MachineInfo::read();
    println!("{processes} sidecar processes; {machine:?}\n");
    let fleet = SpreadFleet::start(processes, binary).await?;
    sleep(REST_TIME).await;
    cost::print_idle(&fleet.process_ids(), IDLE_TIME).await?;
    println!(
        "\n| key-value service | change | from start of commit ms p50 | p99 | last | from accepted ms last |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    print_changes(&fleet, "normal").await?;
    fleet.slow_store(SLOW_MS).await?;
    print_changes(&fleet, "slow by 500 ms").await
}

async fn print_changes(fleet: &SpreadFleet, mode: &str) -> eyre::Result<()> {
    for change in 0..CHANGES {
        let spread = fleet.change(change).await.wrap_err("the change failed")?;
        let millis = |time: Duration| time.as_millis();
        println!(
            "| {mode} | {change} | {} | {} | {} | {} |",
            millis(spread.quantile(50)),
            millis(spread.quantile(99)),
            millis(spread.quantile(100)),
            millis(spread.after_accepted()),
        );
        sleep(CHANGE_GAP).await;
    }
    Ok(())
}
