//! Measures how fast a change is applied by many sidecar processes, and their cost when idle.
//!
//! `spread [PROCESSES [BINARY]]` starts PROCESSES sidecars (by default 150) from BINARY, by default
//! the one in the build folder of this example, with stand-ins for the platform and one plain
//! service as their target.

mod cost;
mod fleet;
mod process;

use std::time::Duration;

use amaranthgw::bench::MachineInfo;
use eyre::WrapErr;
use tokio::runtime::Builder;
use tokio::time::sleep;

use fleet::SidecarFleet;

/// Changes measured with the key-value service at normal speed, and again with it slowed down.
const CHANGES: usize = 15;
/// Pause after each change.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Time over which the processor time of idle processes is measured.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Pause before the idle measurement, in which connections and watches are set up.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const DEFAULT_PROCESSES: usize = 150;
/// Delay of each call of the slowed key-value service, in milliseconds.
const STORE_DELAY_MS: u64 = 500;

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
    let fleet = SidecarFleet::start(processes, binary).await?;
    sleep(SETTLE_TIME).await;
    cost::print_idle(&fleet.process_ids(), IDLE_TIME).await?;
    println!(
        "\n| key-value service | change | from start of commit ms p50 | p99 | last | from accepted ms last |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    print_changes(&fleet, "normal").await?;
    fleet.delay_store(STORE_DELAY_MS).await?;
    print_changes(&fleet, "slow by 500 ms").await
}

async fn print_changes(fleet: &SidecarFleet, mode: &str) -> eyre::Result<()> {
    for change in 0..CHANGES {
        let times = fleet
            .change(change)
            .await
            .wrap_err("failed to apply the change")?;
        let millis = |time: Duration| time.as_millis();
        println!(
            "| {mode} | {change} | {} | {} | {} | {} |",
            millis(times.quantile(50)),
            millis(times.quantile(99)),
            millis(times.quantile(100)),
            millis(times.after_accepted()),
        );
        sleep(CHANGE_PAUSE).await;
    }
    Ok(())
}
