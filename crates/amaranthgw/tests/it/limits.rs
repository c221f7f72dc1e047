use std::time::Duration;

use amaranthgw_fleet::limits::RateMeter;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::env::{CallerClient, TestFleet, eventually};

/// Requests per second that the plan of these tests allows for the workspace.
const PLAN_RATE: f64 = 20.0;
/// Requests per second that all callers together offer.
const OFFERED_RATE: f64 = 100.0;
/// Number of concurrent callers.
const CALLER_COUNT: u32 = 10;
/// Longest time from the last renewal of an entry's shares to their expiry.
const SHARE_LEASE: Duration = Duration::from_mins(1);
/// Timeout of waits for shares to move between entries; far above the lease and its margin.
const SHARE_MOVE_TIMEOUT: Duration = Duration::from_mins(4);

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

/// Number of requests that the limit admitted, and the time in which they were offered.
#[derive(Debug)]
struct OfferResult {
    admitted: u32,
    elapsed: Duration,
}

impl OfferResult {
    /// Returns the most requests that `meters` meters may admit together: the rate over the elapsed
    /// time and one burst, plus one request for each meter.
    fn max_admitted(&self, meters: f64) -> f64 {
        PLAN_RATE * (self.elapsed + RateMeter::BURST_WINDOW).as_secs_f64() + meters
    }

    fn rate(&self) -> f64 {
        f64::from(self.admitted) / self.elapsed.as_secs_f64()
    }
}

async fn start_fleet(name: &str) -> TestFleet {
    TestFleet::start_with_lists(name, CUSTOMERS, PLANS).await
}

/// Offers requests for `duration`, alternating between the entries with these indices.
async fn offer(fleet: &TestFleet, entries: &[usize], duration: Duration) -> OfferResult {
    let callers: Vec<CallerClient> = entries.iter().map(|entry| fleet.caller(*entry)).collect();
    let started_at = Instant::now();
    let workers =
        (0..CALLER_COUNT).map(|worker| offer_as_worker(&callers, worker, started_at, duration));
    let admitted = join_all(workers).await.into_iter().sum();
    OfferResult {
        admitted,
        elapsed: started_at.elapsed(),
    }
}

async fn offer_as_worker(
    callers: &[CallerClient],
    worker: u32,
    started_at: Instant,
    duration: Duration,
) -> u32 {
    let pause = Duration::from_secs_f64(f64::from(CALLER_COUNT) / OFFERED_RATE);
    let (mut sent, mut admitted) = (0_usize, 0);
    while started_at.elapsed() < duration {
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

/// Offers requests in rounds until the entries admit at least `fraction` of the rate.
///
/// Asserts in each round that the limit is kept.
async fn offer_until(fleet: &TestFleet, entries: &[usize], fraction: f64) {
    const ROUND_DURATION: Duration = Duration::from_secs(4);
    let started_at = Instant::now();
    loop {
        let result = offer(fleet, entries, ROUND_DURATION).await;
        assert_within(&result, entries.len());
        if result.rate() >= fraction * PLAN_RATE {
            return;
        }
        assert!(
            started_at.elapsed() < SHARE_MOVE_TIMEOUT,
            "still {result:?}"
        );
    }
}

fn assert_within(result: &OfferResult, entries: usize) {
    let meters = f64::from(u32::try_from(entries).expect("few entries"));
    let max_admitted = result.max_admitted(meters);
    assert!(
        f64::from(result.admitted) <= max_admitted,
        "{result:?} over {max_admitted}"
    );
}

async fn set_store_down(fleet: &TestFleet) {
    let store = CallerClient::new(fleet.store.address("listening"));
    let faults = json!({ "mode": "down" }).to_string();
    let answer = store
        .send(http::Method::POST, "/admin/faults", &[], faults)
        .await;
    assert!(answer.expect("an answer").status.is_success());
}

/// Entries that share a limit must not exceed it together, and must move shares to where the demand
/// is.
#[tokio::test]
async fn limit_over_two_entries_is_kept_and_follows_demand() {
    let fleet = start_fleet("limit-two").await;
    let both = offer(&fleet, &[0, 1], Duration::from_secs(6)).await;
    assert_within(&both, 2);
    offer_until(&fleet, &[0, 1], 0.8).await;
    offer_until(&fleet, &[0], 0.85).await;
    offer_until(&fleet, &[1], 0.85).await;
}

/// The share of a killed entry must not be used before its lease expires, nor stay lost afterwards.
#[tokio::test]
async fn limit_of_a_killed_entry_is_reclaimed() {
    let mut fleet = start_fleet("limit-killed").await;
    offer_until(&fleet, &[0, 1], 0.8).await;
    fleet.entries[1].process.kill();
    let before = offer(&fleet, &[0], Duration::from_secs(2)).await;
    assert!(
        before.rate() < 0.85 * PLAN_RATE,
        "{before:?} before the lease ended"
    );
    offer_until(&fleet, &[0], 0.85).await;
}

/// Without the key-value service, entries must keep to their shares and stop at the end of the
/// lease, as other entries may then take the shares over.
#[tokio::test]
async fn limit_in_an_outage_is_kept_until_the_lease_ends() {
    let fleet = start_fleet("limit-outage").await;
    offer_until(&fleet, &[0, 1], 0.8).await;
    set_store_down(&fleet).await;
    let down_at = Instant::now();
    let outage = offer(&fleet, &[0, 1], Duration::from_secs(6)).await;
    assert_within(&outage, 2);
    assert!(
        outage.admitted > 0 || down_at.elapsed() > SHARE_LEASE,
        "{outage:?}"
    );
    let remaining = (down_at + SHARE_LEASE).saturating_duration_since(Instant::now());
    let until_end = offer(&fleet, &[0, 1], remaining).await;
    assert_within(&until_end, 2);
    sleep(Duration::from_secs(1)).await;
    let after = offer(&fleet, &[0, 1], Duration::from_secs(2)).await;
    assert_eq!(after.admitted, 0, "a share outlived its lease");
}

/// Shares granted under a higher limit must not outlast an edit that lowers it.
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
    let max_admitted = 2.0 * (result.elapsed + RateMeter::BURST_WINDOW).as_secs_f64() + 2.0;
    assert!(
        f64::from(result.admitted) <= max_admitted,
        "{result:?} over {max_admitted}"
    );
}
