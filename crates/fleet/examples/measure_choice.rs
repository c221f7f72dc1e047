//! Measures the time that the load-balancing policies of a gateway need for a decision.
//!
//! `cargo run --release -p amaranthgw-fleet --example measure_choice`

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{DomainId, MilliSpan, SlotCount, TokenCount, TokenRate};
use amaranthgw_fleet::gateway::{
    CallWork, ChoiceInput, ChoicePolicy, EarliestBeginPolicy, EngineFigures, HeartbeatMark,
    LeastLoadedPolicy, RankLoad, RoundRobinPolicy, TargetCandidate, TargetGauge, TargetRecord,
};
use tokio::time::Instant;

/// Decisions that one figure is the mean of.
const DECISIONS: u32 = 5_000;
/// Time between two decisions.
const INTERVAL: Duration = Duration::from_micros(100);
const GATEWAYS: u32 = 50;
const SLOTS: u32 = 10;

fn engine() -> EngineFigures {
    EngineFigures {
        slots: SlotCount::new(SLOTS),
        step: Duration::from_micros(5_850),
        step_per_request: Duration::from_micros(426),
        step_per_thousand: Duration::from_micros(43),
        read_rate: TokenRate::new(61_200),
        read_per_million_pairs: Duration::from_micros(325),
        stride: 6,
        memory: TokenCount::new(310_000),
        usual_prompt: TokenCount::new(868),
        usual_answer: TokenCount::new(139),
    }
}

fn candidate(index: u16, now: Instant) -> TargetCandidate {
    let gauge = TargetGauge::new(now);
    let load = RankLoad {
        running: fastrand::u32(3..=SLOTS),
        pace_milli: 1_000,
        ..RankLoad::default()
    };
    let _applied = gauge.record_report(&load, now + INTERVAL, now + INTERVAL);
    TargetCandidate {
        record: TargetRecord {
            target: format!("i-{index}").parse().expect("target"),
            service: "service".parse().expect("service"),
            address: ([10, 0, 0, 1], index).into(),
            domain: "domain-a".parse().expect("domain"),
            slots: SlotCount::new(SLOTS),
            is_draining: false,
            cold_left: MilliSpan::new(0),
            heartbeat: HeartbeatMark::default(),
        },
        gauge: Arc::new(gauge),
        cold_until: now,
        limited_until: now,
        group: None,
    }
}

fn measure(policy: &dyn ChoicePolicy, targets: u16) -> Duration {
    let start = Instant::now();
    let candidates: Vec<_> = (0..targets).map(|index| candidate(index, start)).collect();
    let (engine, domain): (_, DomainId) = (engine(), "domain-a".parse().expect("domain"));
    let began_at = std::time::Instant::now();
    for decision in 0..DECISIONS {
        let input = ChoiceInput {
            tried: &[],
            domain: &domain,
            cold_share: None,
            work: Some(CallWork {
                engine: &engine,
                estimate: engine.usual(),
                gateways: GATEWAYS,
                is_congested: true,
                parts: None,
            }),
            now: start + INTERVAL * (decision + 2),
        };
        black_box(policy.choose(&candidates, &input));
    }
    began_at.elapsed() / DECISIONS
}

fn main() {
    let policies: [&dyn ChoicePolicy; 3] = [
        &RoundRobinPolicy::default(),
        &LeastLoadedPolicy,
        &EarliestBeginPolicy::default(),
    ];
    for targets in [40, 300, 1_000] {
        for policy in policies {
            let time = measure(policy, targets);
            println!("{targets:>5} targets {:>15} {time:>10.2?}", policy.name());
        }
    }
}
