//! The systems that run at each decoding step.

use std::time::Duration;

use amaranthgw_core::{TickSchedule, TickSystem};
use tokio::time::Instant;

use super::log::EngineEvent;
use super::messages::{StreamEnd, StreamLine};
use super::rows::{RunNumber, RunRow};
use super::stream::StreamPart;
use super::text::chunk_of;
use super::world::EngineWorld;

/// Shortest time of a decoding step.
const MIN_STEP: Duration = Duration::from_millis(1);

/// The systems in their order.
pub(super) fn engine_schedule() -> TickSchedule<EngineWorld> {
    TickSchedule::new()
        .with_system(RestartSystem)
        .with_system(ReapSystem)
        .with_system(DecodeSystem)
        .with_system(EndSystem)
        .with_system(WarmSystem)
        .with_system(PaceSystem)
}

/// Starts the engine again after a fall-over.
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

/// Removes the runs whose callers have gone.
#[derive(Debug)]
struct ReapSystem;

impl TickSystem<EngineWorld> for ReapSystem {
    fn name(&self) -> &'static str {
        "reap"
    }

    fn run(&mut self, world: &mut EngineWorld, now: Instant) {
        world.reap(now);
    }
}

/// Sends one chunk of each run whose prompt has been read, the highest priority first.
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

/// Ends the runs whose every chunk was sent.
#[derive(Debug)]
struct EndSystem;

impl TickSystem<EngineWorld> for EndSystem {
    fn name(&self) -> &'static str {
        "end"
    }

    fn run(&mut self, world: &mut EngineWorld, now: Instant) {
        let is_whole = |row: &RunRow| row.is_whole() && row.first_chunk_at <= now;
        let whole = world.runs.iter().filter(|(_, row)| is_whole(row));
        for run in whole.map(|(run, _)| *run).collect::<Vec<_>>() {
            end_run(world, run, now);
        }
    }
}

/// Makes a cold engine warm once it has finished enough requests.
#[derive(Debug)]
struct WarmSystem;

impl TickSystem<EngineWorld> for WarmSystem {
    fn name(&self) -> &'static str {
        "warm"
    }

    fn run(&mut self, world: &mut EngineWorld, _now: Instant) {
        world.life.is_warm |= world.life.finished >= world.settings.warm_after;
    }
}

/// Reports the load and sets when the next step is due.
#[derive(Debug)]
struct PaceSystem;

impl TickSystem<EngineWorld> for PaceSystem {
    fn name(&self) -> &'static str {
        "pace"
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
    let ready = ready.filter(|(_, row)| row.first_chunk_at <= now && !row.is_whole());
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
        text: chunk_of(row.prompt_hash, row.next.get()),
    };
    let _is_gone = row.stream.send(StreamPart::line(&line));
    row.next = row.next.next();
    row.is_decoding = true;
}

fn end_run(world: &mut EngineWorld, run: RunNumber, now: Instant) {
    let Some(row) = world.runs.remove(&run) else {
        return;
    };
    let end = StreamEnd { chunks: row.chunks };
    let _is_gone = row.stream.send(StreamPart::line(&StreamLine::End { end }));
    let _is_gone = row.stream.send(StreamPart::Close);
    let (request, attempt) = (row.request, row.attempt);
    world.log.add(now, EngineEvent::End { request, attempt });
    world.life.finished += 1;
}
