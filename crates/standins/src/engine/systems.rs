//! Systems that run at each decoding step.

use std::time::Duration;

use amaranthgw_core::{TickSchedule, TickSystem};
use tokio::time::Instant;

use super::log::EngineEvent;
use super::messages::{StreamEnd, StreamLine};
use super::rows::{RunNumber, RunRow};
use super::stream::StreamPart;
use super::text::chunk_for_hash;
use super::world::EngineWorld;

/// Minimum time of a decoding step.
const MIN_STEP: Duration = Duration::from_millis(1);

/// Returns the schedule with all systems in their order.
pub(super) fn engine_schedule() -> TickSchedule<EngineWorld> {
    TickSchedule::new()
        .with_system(RestartSystem)
        .with_system(AbandonedRunSystem)
        .with_system(DecodeSystem)
        .with_system(EndSystem)
        .with_system(WarmSystem)
        .with_system(StepTimingSystem)
}

/// Restarts the engine when the restart time after a crash has passed.
#[derive(Debug)]
struct RestartSystem;

impl TickSystem<EngineWorld> for RestartSystem {
    fn name(&self) -> &'static str {
        "restart"
    }

    fn run(&mut self, world: &mut EngineWorld, now: Instant) {
        world.restart_if_due(now);
    }
}

/// Removes the runs whose callers have disconnected.
#[derive(Debug)]
struct AbandonedRunSystem;

impl TickSystem<EngineWorld> for AbandonedRunSystem {
    fn name(&self) -> &'static str {
        "reap"
    }

    fn run(&mut self, world: &mut EngineWorld, now: Instant) {
        world.remove_abandoned(now);
    }
}

/// Sends one chunk of each run past its prefill, highest priority first.
#[derive(Debug)]
struct DecodeSystem;

impl TickSystem<EngineWorld> for DecodeSystem {
    fn name(&self) -> &'static str {
        "decode"
    }

    fn run(&mut self, world: &mut EngineWorld, now: Instant) {
        for run in step_order(world, now) {
            if let Some(row) = world.runs.get_mut(&run) {
                send_chunk(row);
            }
        }
    }
}

/// Ends the runs whose chunks were all sent.
#[derive(Debug)]
struct EndSystem;

impl TickSystem<EngineWorld> for EndSystem {
    fn name(&self) -> &'static str {
        "end"
    }

    fn run(&mut self, world: &mut EngineWorld, now: Instant) {
        let is_complete = |row: &RunRow| row.is_complete() && row.first_chunk_at <= now;
        let complete = world.runs.iter().filter(|(_, row)| is_complete(row));
        for run in complete.map(|(run, _)| *run).collect::<Vec<_>>() {
            end_run(world, run, now);
        }
    }
}

/// Makes a cold engine warm once it has finished [`EngineSettings::warm_after`] requests.
///
/// [`EngineSettings::warm_after`]: super::EngineSettings::warm_after
#[derive(Debug)]
struct WarmSystem;

impl TickSystem<EngineWorld> for WarmSystem {
    fn name(&self) -> &'static str {
        "warm"
    }

    fn run(&mut self, world: &mut EngineWorld, _now: Instant) {
        world.process.is_warm |= world.process.finished >= world.settings.warm_after;
    }
}

/// Records the load and schedules the next step.
#[derive(Debug)]
struct StepTimingSystem;

impl TickSystem<EngineWorld> for StepTimingSystem {
    fn name(&self) -> &'static str {
        "step-timing"
    }

    fn run(&mut self, world: &mut EngineWorld, now: Instant) {
        world.report_load(now);
        let token_span = world.settings.token_span.duration().max(MIN_STEP);
        let planned = world.next_step + token_span;
        let is_late = planned <= now;
        world.next_step = if is_late { now + token_span } else { planned };
    }
}

fn step_order(world: &EngineWorld, now: Instant) -> Vec<RunNumber> {
    let ready = world.runs.iter();
    let ready = ready.filter(|(_, row)| row.first_chunk_at <= now && !row.is_complete());
    let mut order = ready
        .map(|(run, row)| (*run, row.priority))
        .collect::<Vec<_>>();
    order.sort_by_key(|(run, priority)| (std::cmp::Reverse(*priority), *run));
    if world.settings.chunks_per_step > 0 {
        order.truncate(world.settings.chunks_per_step);
    }
    order.into_iter().map(|(run, _)| run).collect()
}

fn send_chunk(row: &mut RunRow) {
    let line = StreamLine::Chunk {
        sequence: row.next,
        text: chunk_for_hash(row.prompt_hash, row.next.get()),
    };
    let _is_closed = row.stream.send(StreamPart::line(&line));
    row.next = row.next.next();
    row.is_decoding = true;
}

fn end_run(world: &mut EngineWorld, run: RunNumber, now: Instant) {
    let Some(row) = world.runs.remove(&run) else {
        return;
    };
    let end = StreamEnd { chunks: row.chunks };
    let _is_closed = row.stream.send(StreamPart::line(&StreamLine::End { end }));
    let _is_closed = row.stream.send(StreamPart::Close);
    let (request, attempt) = (row.request, row.attempt);
    world.log.add(now, EngineEvent::End { request, attempt });
    world.process.finished += 1;
}
