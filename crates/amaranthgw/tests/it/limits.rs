use std::time::Duration;

use amaranthgw_fleet::limits::RateMeter;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::env::{CallerClient, TestFleet, eventually};

/// Requests per second that the plan of these tests allows the workspace.
const RATE: f64 = 20.0;
/// Requests per second that callers offer.
const OFFERED: f64 = 100.0;
/// Callers at work at a time.
const CALLERS: u32 = 10;
/// Longest time from the last renewal of an entry's shares to their end.
const LEASE: Duration = Duration::from_mins(1);
/// Bound on waits for shares to change hands; far above the lease and its margin.
const SHARE_BOUND: Duration = Duration::from_mins(4);

const CUSTOMERS: &str = r#"{"customers": [{"workspace": "care-homes", "plan": "small"}]}"#;
const PLANS: &str = r#"{
  "plans": [{
    "plan": "small", "deadline": "30s", "first_token": "10s", "token_gap": "10s",
    "objective": 9900, "refund_weight": 5,
    "uses": [
      {"service": "draft-llm", "rate": "1000/s", "in_flight": 1000},
      {"service": "booking-desk", "rate": "20/s", "in_flight": 1000}
    ]
  }]
}"#;

/// Requests that the limit admitted, and the time in which they were offered.
#[derive(Debug)]
struct OfferResult {
    admitted: u32,
    elapsed: Duration,
}

impl OfferResult {
    /// The most that one meter or several that share the rate may admit in the time.
    fn most(&self, meters: f64) -> f64 {
        RATE * (self.elapsed + RateMeter::BURST_WINDOW).as_secs_f64() + meters
    }

    fn rate(&self) -> f64 {
        f64::from(self.admitted) / self.elapsed.as_secs_f64()
    }
}

async fn start_fleet(name: &str) -> TestFleet {
    TestFleet::start_with_lists(name, CUSTOMERS, PLANS).await
}

/// Offers requests in turn to the entries with these indices for `time`.
async fn offer(fleet: &TestFleet, entries: &[usize], time: Duration) -> OfferResult {
    let callers: Vec<CallerClient> = entries.iter().map(|entry| fleet.caller(*entry)).collect();
    let begin = Instant::now();
    let workers = (0..CALLERS).map(|worker| offer_alone(&callers, worker, begin, time));
    let admitted = join_all(workers).await.into_iter().sum();
    OfferResult {
        admitted,
        elapsed: begin.elapsed(),
    }
}

async fn offer_alone(callers: &[CallerClient], worker: u32, begin: Instant, time: Duration) -> u32 {
    let pause = Duration::from_secs_f64(f64::from(CALLERS) / OFFERED);
    let (mut sent, mut admitted) = (0_usize, 0);
    while begin.elapsed() < time {
        let caller = &callers[(sent + worker as usize) % callers.len()];
        let request = format!("offer-{worker}-{sent}-{}", fastrand::u64(..));
        let answer = caller.call("booking-desk", &request, &[], "tin").await;
        let answer = answer.expect("an answer");
        let is_over = !answer.status.is_success() && answer.error().0 == "over_limit";
        admitted += u32::from(!is_over);
        sent += 1;
        sleep(pause).await;
    }
    admitted
}

/// Offers until the entries admit at least `part` of the rate; each round keeps the limit.
async fn offer_until(fleet: &TestFleet, entries: &[usize], part: f64) {
    const ROUND: Duration = Duration::from_secs(4);
    let begin = Instant::now();
    loop {
        let result = offer(fleet, entries, ROUND).await;
        assert_within(&result, entries.len());
        if result.rate() >= part * RATE {
            return;
        }
        assert!(begin.elapsed() < SHARE_BOUND, "still {result:?}");
    }
}

fn assert_within(result: &OfferResult, entries: usize) {
    let meters = f64::from(u32::try_from(entries).expect("few entries"));
    let most = result.most(meters);
    assert!(f64::from(result.admitted) <= most, "{result:?} over {most}");
}

async fn set_store_down(fleet: &TestFleet) {
    let store = CallerClient::new(fleet.store.address("listening"));
    let faults = json!({ "mode": "down" }).to_string();
    let answer = store
        .send(http::Method::POST, "/admin/faults", &[], faults)
        .await;
    assert!(answer.expect("an answer").status.is_success());
}

#[tokio::test]
async fn limit_over_two_entries_is_kept_and_follows_demand() {
    let fleet = start_fleet("limit-two").await;
    let both = offer(&fleet, &[0, 1], Duration::from_secs(6)).await;
    assert_within(&both, 2);
    offer_until(&fleet, &[0, 1], 0.8).await;
    offer_until(&fleet, &[0], 0.85).await;
    offer_until(&fleet, &[1], 0.85).await;
}

#[tokio::test]
async fn limit_of_a_killed_entry_is_reclaimed() {
    let mut fleet = start_fleet("limit-killed").await;
    offer_until(&fleet, &[0, 1], 0.8).await;
    fleet.entries[1].process.kill();
    let before = offer(&fleet, &[0], Duration::from_secs(2)).await;
    assert!(
        before.rate() < 0.85 * RATE,
        "{before:?} before the lease ended"
    );
    offer_until(&fleet, &[0], 0.85).await;
}

#[tokio::test]
async fn limit_in_an_outage_is_kept_until_the_lease_ends() {
    let fleet = start_fleet("limit-outage").await;
    offer_until(&fleet, &[0, 1], 0.8).await;
    set_store_down(&fleet).await;
    let down_at = Instant::now();
    let outage = offer(&fleet, &[0, 1], Duration::from_secs(6)).await;
    assert_within(&outage, 2);
    assert!(
        outage.admitted > 0 || down_at.elapsed() > LEASE,
        "{outage:?}"
    );
    let rest = (down_at + LEASE).saturating_duration_since(Instant::now());
    let until_end = offer(&fleet, &[0, 1], rest).await;
    assert_within(&until_end, 2);
    sleep(Duration::from_secs(1)).await;
    let after = offer(&fleet, &[0, 1], Duration::from_secs(2)).await;
    assert_eq!(after.admitted, 0, "a share outlived its lease");
}

#[tokio::test]
async fn limit_lowered_by_an_edit_is_kept_at_once() {
    let fleet = start_fleet("limit-edit").await;
    offer_until(&fleet, &[0, 1], 0.8).await;
    fleet.apply_lists(CUSTOMERS, &PLANS.replace(r#""20/s""#, r#""2/s""#));
    eventually("edit in force at the entries", || async {
        let status = fleet.status();
        let nodes = status["nodes"].as_array()?;
        let mut entries = nodes.iter().filter(|node| node["role"] == "entry");
        entries
            .all(|node| node["change"] == status["accepted"])
            .then_some(())
    })
    .await;
    let result = offer(&fleet, &[0, 1], Duration::from_secs(4)).await;
    let most = 2.0 * (result.elapsed + RateMeter::BURST_WINDOW).as_secs_f64() + 2.0;
    assert!(f64::from(result.admitted) <= most, "{result:?} over {most}");
}
