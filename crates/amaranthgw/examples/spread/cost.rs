//! Memory and processor time of processes.

use std::time::Duration;

use eyre::OptionExt;
use tokio::time::sleep;

/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Assumed size of a memory page.
const PAGE_BYTES: u64 = 4_096;
/// Field indices in `/proc/<pid>/stat` after the last closing bracket, which ends the process
/// name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
const RESIDENT_PAGES_FIELD: usize = 21;

/// Prints the memory of idle processes and their processor time over `duration`.
pub async fn print_idle(processes: &[u32], duration: Duration) -> eyre::Result<()> {
    let before = read_all(processes)?;
    sleep(duration).await;
    let after = read_all(processes)?;
    let spent = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.ticks - before.ticks);
    let mut core_percents: Vec<_> = spent
        .map(|ticks| f64::from(ticks) / TICKS_PER_SECOND / duration.as_secs_f64() * 100.0)
        .collect();
    core_percents.sort_unstable_by(f64::total_cmp);
    let mut resident_kib: Vec<_> = after.iter().map(|cost| cost.resident_kib).collect();
    resident_kib.sort_unstable();
    let last = processes.len() - 1;
    println!("| at idle | p50 | max |");
    println!("| --- | --- | --- |");
    println!(
        "| resident KiB | {} | {} |",
        resident_kib[last / 2],
        resident_kib[last]
    );
    println!(
        "| % of a core | {:.2} | {:.2} |",
        core_percents[last / 2],
        core_percents[last]
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
    let (_name, fields) = text
        .rsplit_once(") ")
        .ok_or_eyre("malformed /proc/<pid>/stat")?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let field = |index: usize| {
        fields
            .get(index)
            .copied()
            .ok_or_eyre("malformed /proc/<pid>/stat")
    };
    let ticks =
        field(USER_TICKS_FIELD)?.parse::<u32>()? + field(SYSTEM_TICKS_FIELD)?.parse::<u32>()?;
    let resident_kib = field(RESIDENT_PAGES_FIELD)?.parse::<u64>()? * PAGE_BYTES / 1_024;
    Ok(ProcessCost {
        ticks,
        resident_kib,
    })
}
