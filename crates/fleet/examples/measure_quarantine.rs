//! Measures what the quarantine and the memory budget cost a request, and a message of a peer.
//!
//! ```sh
//! cargo run --release -p amaranthgw-fleet --example measure_quarantine
//! ```

use std::hint::black_box;
use std::time::Duration;

use amaranthgw_core::{ByteCount, PartId};
use amaranthgw_fleet::gateway::{PartQuarantine, QuarantineDigest, request_mark};
use amaranthgw_fleet::memory::{ByteBudget, ByteHolder};
use tokio::time::Instant;

/// Repetitions of each operation.
const ROUNDS: u32 = 200_000;

fn main() {
    println!("crashes, suspects each: operation, time of one");
    for (crashes, suspects) in [(0, 0), (1, 1), (32, 16)] {
        measure(crashes, suspects);
    }
    measure_marks();
    measure_budget();
}

fn measure_marks() {
    for bytes in [0, 1_000, 100_000] {
        let body = vec![b'a'; bytes];
        let took = time(|| request_mark(None, "POST", "/look/1", &body));
        println!("mark of a body of {bytes} bytes: {:?}", took / ROUNDS);
    }
}

/// Costs of one reservation while `others` are open.
fn measure_budget() {
    let now = Instant::now();
    for others in [0, 1_000] {
        let mut budget = ByteBudget::new(ByteCount::new(48 << 20));
        for _ in 0..others {
            let reservation = budget.open(ByteHolder::Anonymous, None, now);
            budget.grow(reservation, ByteCount::new(1_000), now);
        }
        let took = time(|| {
            let reservation = budget.open(ByteHolder::Anonymous, None, now);
            budget.grow(reservation, ByteCount::new(1_000), now);
            budget.complete(reservation, ByteCount::new(1_000));
            budget.close(reservation);
        });
        println!("reservation beside {others}: {:?}", took / ROUNDS);
    }
}

fn measure(crashes: u64, suspects: u64) {
    let mut now = Instant::now();
    let quarantine = PartQuarantine::new(now);
    for crash in 0..crashes {
        let target = format!("i-{crash}").parse().expect("target");
        for suspect in 0..suspects {
            let parts = [PartId::new(1_000 + crash * 100 + suspect)];
            quarantine.record_crash(&target, None, &parts, now);
        }
        now += Duration::from_secs(5);
    }
    let parts = [PartId::new(1), PartId::new(2)];
    let report = |operation: &str, took: Duration| {
        println!("{crashes}, {suspects}: {operation}, {:?}", took / ROUNDS);
    };
    report("check", time(|| quarantine.check(None, &parts, now)));
    report(
        "record_begun",
        time(|| quarantine.record_begun(&parts, now)),
    );
    report("digest", time(|| quarantine.digest()));
    let news = quarantine.news_for(QuarantineDigest::default(), now);
    let bytes = serde_json::to_vec(&news).map_or(0, |text| text.len());
    println!("{crashes}, {suspects}: news, {bytes} bytes");
}

/// Time of `ROUNDS` calls of `operation`.
fn time<T>(mut operation: impl FnMut() -> T) -> Duration {
    let began_at = Instant::now();
    for _ in 0..ROUNDS {
        black_box(operation());
    }
    began_at.elapsed()
}
