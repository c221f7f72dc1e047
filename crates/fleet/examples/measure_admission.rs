//! Measures the time of a decision of the admission with many waiters.
//!
//! `cargo run --release -p amaranthgw-fleet --example measure_admission`

use std::time::{Duration, Instant as StdInstant};

use amaranthgw_core::{PartId, PriorityLevel, SlotCount};
use amaranthgw_fleet::gateway::{
    AdmissionState, AdmissionTerms, AdmissionVerdict, AnswerSign, CallRank, TargetLoad, WaitRoom,
};
use tokio::time::Instant;

/// Requests in flight.
const FLIGHTS: usize = 200;
/// Workspaces that the requests belong to.
const WORKSPACES: usize = 24;
/// Requests that end, each in place of which one arrives.
const ROUNDS: usize = 100_000;

fn terms(number: usize, now: Instant) -> AdmissionTerms {
    let priority = PriorityLevel::new(u8::try_from(number % 3).unwrap_or_default());
    let workspace = format!("workspace-{}", number % WORKSPACES);
    AdmissionTerms {
        rank: CallRank::new(Some(priority), priority),
        workspace: workspace.parse().ok(),
        mark: PartId::new(u64::try_from(number).unwrap_or_default()),
        arrived_at: now,
        objective: Duration::from_millis(400),
        deadline: now + Duration::from_hours(1),
    }
}

fn main() {
    let (mut state, mut now) = (AdmissionState::new(), Instant::now());
    let (mut notices, mut flights) = (Vec::new(), Vec::new());
    for number in 0..FLIGHTS {
        if let AdmissionVerdict::Granted(granted) =
            state.arrive(terms(number, now), now, &mut notices)
        {
            flights.push(granted);
        }
    }
    let load = TargetLoad {
        in_flight: 20,
        slots: SlotCount::new(10),
    };
    let sign = AnswerSign {
        first_byte: Duration::from_millis(400),
        objective: Duration::from_millis(400),
        load: Some(load),
    };
    if let Some(number) = flights.pop() {
        now += Duration::from_millis(1_500);
        state.end_flight(number, true, now, &mut notices);
    }
    for _ in 0..10 {
        state.record_answer(sign, now, &mut notices);
    }
    let mut number = FLIGHTS;
    while state.waiting() < WaitRoom::MAX_WAITERS - 1 {
        let _verdict = state.arrive(terms(number, now), now, &mut notices);
        number += 1;
    }
    let mut arrivals = Duration::ZERO;
    let begun_at = StdInstant::now();
    for round in 0..ROUNDS {
        now += Duration::from_micros(100);
        if let Some(flight) = flights.pop() {
            state.end_flight(flight, true, now, &mut notices);
        }
        flights.extend(notices.drain(..).map(|notice| notice.number));
        let next = terms(number + round, now);
        let arrived_at = StdInstant::now();
        if let AdmissionVerdict::Granted(granted) = state.arrive(next, now, &mut notices) {
            flights.push(granted);
        }
        arrivals += arrived_at.elapsed();
    }
    let rounds = u32::try_from(ROUNDS).unwrap_or(u32::MAX);
    println!(
        "waiting {}, in flight {}",
        state.waiting(),
        state.in_flight()
    );
    println!("arrival {:?}", arrivals / rounds);
    println!(
        "end of a flight and arrival {:?}",
        begun_at.elapsed() / rounds
    );
}
