//! Memory and processor time of processes.

use std::time::Duration;

use eyre::OptionExt;
use tokio::time::sleep;

/// Ticks of a second in the system's count of processor time.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4_096;
/// Fields of `/proc/<pid>/stat` behind the name, which ends with the last bracket.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;
const RESIDENT: usize = 21;

/// Prints the memory and the processor time of idle processes over `length`.
pub async fn print_idle(processes: &[u32], length: Duration) -> eyre::Result<()> {
    let before = read_all(processes)?;
    sleep(length).await;
    let after = read_all(processes)?;
    let spent = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.ticks - before.ticks);
    let mut cores: Vec<_> = spent
        .map(|ticks| f64::from(ticks) / TICKS_PER_SECOND / length.as_secs_f64() * 100.0)
        .collect();
    cores.sort_unstable_by(f64::total_cmp);
    let mut resident: Vec<_> = after.iter().map(|cost| cost.resident_kib).collect();
    resident.sort_unstable();
    let last = processes.len() - 1;
    println!("| at idle | p50 | max |");
    println!("| --- | --- | --- |");
    println!(
        "| resident KiB | {} | {} |",
        resident[last / 2],
        resident[last]
    );
    println!(
        "| % of a core | {:.2} | {:.2} |",
        cores[last / 2],
        cores[last]
    );
    Ok(())
}

struct ProcessCost {
    ticks: u32,
    resident_kib: u64,
}

fn read_all(processes: &[u32]) -> eyre::Result<Vec<ProcessCost>> {
    processes.iter().map(|id| read(*id)).collect()
}

fn read(id: u32) -> eyre::Result<ProcessCost> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_name, fields) = text.rsplit_once(") ").ok_or_eyre("malformed stat")?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let field = |index: usize| fields.get(index).copied().ok_or_eyre("malformed stat");
    let ticks = field(USER_TIME)?.parse::<u32>()? + field(SYSTEM_TIME)?.parse::<u32>()?;
    let resident_kib = field(RESIDENT)?.parse::<u64>()? * PAGE_BYTES / 1_024;
    Ok(ProcessCost {
        ticks,
        resident_kib,
    })
}
