//! Latency of sequential calls through entry and sidecar, compared with direct calls.

use hdrhistogram::Histogram;

use crate::bench::{BenchCell, BenchEffort, BenchError, BenchTable, Result};
use crate::embedded::{
    CallAnswer, EmbeddedFleet, FleetTarget, LoadCaller, LoadStats, MODEL_SERVICE, PLAIN_SERVICE,
};

/// The number of calls with a key is divided by this, as claims are limited to 80 reads and writes
/// per second.
const KEYED_DIVISOR: u32 = 10;
/// Calls of each kind before the measured ones.
const WARM_UP_CALLS: u32 = 20;
/// Tokens requested by each model call.
const MAX_TOKENS: u32 = 8;

/// A kind of call.
#[derive(Clone, Copy, Debug)]
enum CallKind {
    Plain,
    PlainWithKey,
    Model,
}

/// Callers for direct calls and for calls through the entry.
struct CallPaths {
    entry: LoadCaller,
    engine: LoadCaller,
    plain: LoadCaller,
    /// Measured calls of each kind on each path.
    calls: u32,
}

/// Latencies of one kind of call on both paths.
#[derive(Default)]
struct PathTimes {
    direct: LoadStats,
    through: LoadStats,
}

pub(super) async fn measure(fleet: &EmbeddedFleet, effort: BenchEffort) -> Result<BenchTable> {
    let paths = CallPaths::new(fleet, effort.sequential_calls())?;
    let mut table = BenchTable::new(
        "Latency with one call at a time, in microseconds",
        &[
            "call",
            "time",
            "direct p50",
            "direct p99",
            "through p50",
            "through p99",
            "added p50",
            "added p99",
        ],
    );
    let plain = paths.measure(CallKind::Plain).await?;
    table.push(row("plain", "whole answer", &plain, |stats| &stats.total));
    let keyed = paths.measure(CallKind::PlainWithKey).await?;
    table.push(row("plain with key", "whole answer", &keyed, |stats| {
        &stats.total
    }));
    let model = paths.measure(CallKind::Model).await?;
    table.push(row("model", "first token", &model, |stats| {
        &stats.first_byte
    }));
    table.push(row("model", "whole answer", &model, |stats| &stats.total));
    Ok(table)
}

fn row(
    call: &str,
    time: &str,
    times: &PathTimes,
    histogram: impl Fn(&LoadStats) -> &Histogram<u64>,
) -> Vec<BenchCell> {
    let quantile = |stats, at| histogram(stats).value_at_quantile(at);
    let direct = [0.5, 0.99].map(|at| quantile(&times.direct, at));
    let through = [0.5, 0.99].map(|at| quantile(&times.through, at));
    let added = [0, 1].map(|index: usize| through[index].saturating_sub(direct[index]));
    let counts = [direct, through, added].concat();
    let mut cells = vec![BenchCell::text(call), BenchCell::text(time)];
    cells.extend(counts.into_iter().map(BenchCell::Count));
    cells
}

impl CallPaths {
    fn new(fleet: &EmbeddedFleet, calls: u32) -> Result<Self> {
        let missing = BenchError::Malformed { value: "the fleet" };
        let entry = fleet.caller_addresses().first().copied();
        let target = |service| {
            let found = fleet.targets().iter().find(|row| row.service == service);
            found.map(FleetTarget::address)
        };
        let addresses = (entry, target(MODEL_SERVICE), target(PLAIN_SERVICE));
        let (Some(entry), Some(engine), Some(plain)) = addresses else {
            return Err(missing);
        };
        Ok(Self {
            entry: LoadCaller::new(entry),
            engine: LoadCaller::new(engine),
            plain: LoadCaller::new(plain),
            calls,
        })
    }

    /// Measures direct calls and calls through the entry in alternation.
    async fn measure(&self, kind: CallKind) -> Result<PathTimes> {
        let mut times = PathTimes::default();
        let calls = match kind {
            CallKind::PlainWithKey => self.calls / KEYED_DIVISOR,
            CallKind::Plain | CallKind::Model => self.calls,
        };
        for index in 0..WARM_UP_CALLS + calls {
            let request = format!("{kind:?}-{index}");
            let direct = self.call_directly(kind, &request).await;
            let through = self.call_through_entry(kind, &request).await;
            let (Some(direct), Some(through)) = (successful(direct), successful(through)) else {
                return Err(BenchError::Malformed { value: "an answer" });
            };
            if index >= WARM_UP_CALLS {
                times.direct.record_times(direct.first_byte, direct.total);
                times
                    .through
                    .record_times(through.first_byte, through.total);
            }
        }
        Ok(times)
    }

    async fn call_directly(&self, kind: CallKind, request: &str) -> Option<CallAnswer> {
        match kind {
            CallKind::Model => {
                self.engine
                    .generate_directly(request, "prompt", MAX_TOKENS)
                    .await
            }
            CallKind::Plain | CallKind::PlainWithKey => {
                self.plain.call_directly(request, "body").await
            }
        }
    }

    async fn call_through_entry(&self, kind: CallKind, request: &str) -> Option<CallAnswer> {
        let entry = &self.entry;
        match kind {
            CallKind::Model => {
                entry
                    .generate(MODEL_SERVICE, request, "prompt", MAX_TOKENS)
                    .await
            }
            CallKind::Plain => entry.call(PLAIN_SERVICE, request, None, "body").await,
            CallKind::PlainWithKey => {
                entry
                    .call(PLAIN_SERVICE, request, Some(request), "body")
                    .await
            }
        }
    }
}

fn successful(answer: Option<CallAnswer>) -> Option<CallAnswer> {
    answer.filter(|answer| answer.is_clean && answer.status.is_success())
}
