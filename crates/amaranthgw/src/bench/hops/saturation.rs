//! Call rate and processor time of entry and sidecar at saturation.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::{BenchCell, BenchEffort, BenchTable, Result};
use crate::embedded::{EmbeddedFleet, LoadCaller, MODEL_SERVICE, PLAIN_SERVICE, ProcessorTimes};

/// Concurrent callers of each entry; each starts its next call when the previous one has ended.
const CALLERS: u32 = 64;
/// The warm-up is this many times shorter than the measured load.
const WARM_UP_DIVISOR: u32 = 5;

/// A load with one kind of call.
#[derive(Clone, Copy, Debug)]
struct CallLoad {
    name: &'static str,
    service: &'static str,
    /// Tokens requested by a model call; 0 for plain calls.
    max_tokens: u32,
}

const LOADS: [CallLoad; 3] = [
    CallLoad {
        name: "plain",
        service: PLAIN_SERVICE,
        max_tokens: 0,
    },
    CallLoad {
        name: "model, 16 tokens",
        service: MODEL_SERVICE,
        max_tokens: 16,
    },
    CallLoad {
        name: "model, 200 tokens",
        service: MODEL_SERVICE,
        max_tokens: 200,
    },
];

/// Calls and processor time of one load.
struct LoadCost {
    calls: u32,
    duration: Duration,
    entry: ProcessorTimes,
    sidecar: ProcessorTimes,
}

pub(super) async fn measure(fleet: &EmbeddedFleet, effort: BenchEffort) -> Result<BenchTable> {
    let mut table = BenchTable::new(
        "Saturation by 64 callers; one traffic thread in the entry and one in each sidecar",
        &[
            "call",
            "calls/s",
            "entry traffic cores",
            "entry control cores",
            "sidecar traffic cores",
            "sidecar control cores",
            "entry us/call",
            "sidecar us/call",
            "entry calls/s per core",
            "sidecar calls/s per core",
        ],
    );
    for load in LOADS {
        let duration = effort.load_duration();
        run(fleet, load, duration / WARM_UP_DIVISOR).await;
        let cost = run(fleet, load, duration).await;
        table.push(row(load, &cost));
    }
    Ok(table)
}

async fn run(fleet: &EmbeddedFleet, load: CallLoad, duration: Duration) -> LoadCost {
    let (entry, sidecar) = (fleet.entry_times(), fleet.sidecar_times());
    let started_at = Instant::now();
    let mut callers = JoinSet::new();
    for address in fleet.caller_addresses() {
        for _ in 0..CALLERS {
            callers.spawn(call_until(
                LoadCaller::new(address),
                load,
                started_at + duration,
            ));
        }
    }
    let calls = callers.join_all().await.iter().sum();
    LoadCost {
        calls,
        duration: started_at.elapsed(),
        entry: fleet.entry_times().since(entry),
        sidecar: fleet.sidecar_times().since(sidecar),
    }
}

/// Calls repeatedly until `end` and returns the number of complete, successful answers.
async fn call_until(caller: LoadCaller, load: CallLoad, end: Instant) -> u32 {
    let mut calls = 0;
    while Instant::now() < end {
        let answer = if load.max_tokens == 0 {
            caller.call(load.service, "saturation", None, "body").await
        } else {
            caller
                .generate(load.service, "saturation", "prompt", load.max_tokens)
                .await
        };
        calls +=
            u32::from(answer.is_some_and(|answer| answer.is_clean && answer.status.is_success()));
    }
    calls
}

fn row(load: CallLoad, cost: &LoadCost) -> Vec<BenchCell> {
    let seconds = cost.duration.as_secs_f64();
    let calls = f64::from(cost.calls);
    let cores = |time: Duration| time.as_secs_f64() / seconds;
    let micros = |time: Duration| time.as_secs_f64() * 1e6 / calls;
    let per_core = |time: Duration| calls / time.as_secs_f64();
    let (entry, sidecar) = (cost.entry.traffic, cost.sidecar.traffic);
    let numbers = [
        calls / seconds,
        cores(entry),
        cores(cost.entry.control),
        cores(sidecar),
        cores(cost.sidecar.control),
        micros(entry),
        micros(sidecar),
        per_core(entry),
        per_core(sidecar),
    ];
    let numbers = numbers.map(BenchCell::Number);
    [vec![BenchCell::text(load.name)], numbers.to_vec()].concat()
}
