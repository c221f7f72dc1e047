//! Cold targets: the requests of all gateways together stay within the bound.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use amaranthgw::gateway::GatewayProcess;
use amaranthgw_standins::site::{SiteRun, SiteTarget, TargetBehaviour};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::env::{TestSite, call, config, request};
use crate::env::eventually;

/// Gateways of the site.
const GATEWAYS: usize = 14;
/// Gateways that the others know from their settings.
const SEEDS: usize = 3;
/// Callers of each gateway; each sends its next request once the last has ended.
const CALLERS: usize = 6;
/// Requests per second that a cold target bears.
const COLD_RATE: usize = 28;
/// Requests that a cold target may get within any second, from all gateways: half as many again as
/// it bears, and 5.
const COLD_BOUND: usize = COLD_RATE * 3 / 2 + 5;
/// Length of the flood; spans several exchanges between peers.
const FLOOD_TIME: Duration = Duration::from_secs(3);

fn cold_config(version: u64) -> Value {
    let mut config = config(version, "desk");
    config["services"] = json!([{ "name": "desk", "cold_s": 3.0, "cold_per_s": COLD_RATE }]);
    config
}

/// Starts the gateways without waiting until they are ready; `known` selects, by the number of a
/// gateway, which of the earlier ones it knows.
fn start_gateways(site: &TestSite, known: impl Fn(usize) -> Range<usize>) -> Vec<GatewayProcess> {
    let mut gateways: Vec<GatewayProcess> = Vec::new();
    for number in 0..GATEWAYS {
        let known: Vec<SocketAddr> = gateways[known(number)]
            .iter()
            .map(GatewayProcess::node_address)
            .collect();
        let vm = json!({ "vm": format!("gateway-{number}") });
        gateways.push(site.start_process(&known, &vm));
    }
    gateways
}

/// The seeds that gateway `number` knows.
fn seeds(number: usize) -> Range<usize> {
    0..number.min(SEEDS)
}

/// The partner of gateway `number`; pairs of gateways do not reach each other.
fn partner(number: usize) -> Range<usize> {
    number - number % 2..number
}

/// Sends requests through all gateways until `end`, more than a cold target may get.
async fn flood(gateways: &[GatewayProcess], end: Instant) {
    let mut callers = JoinSet::new();
    for gateway in gateways.iter().flat_map(|it| [it.address(); CALLERS]) {
        callers.spawn(async move {
            while Instant::now() < end {
                call(gateway, request("GET", "/look/", "")).await;
            }
        });
    }
    callers.join_all().await;
}

/// The most requests that the target ran within any second.
fn peak_rate(target: &SiteTarget) -> usize {
    peak_rate_of(&target.runs())
}

fn peak_rate_of(runs: &[SiteRun]) -> usize {
    let in_second_from = |first: usize| {
        let end = runs[first].arrived_at + Duration::from_secs(1);
        runs[first..]
            .iter()
            .take_while(|run| run.arrived_at < end)
            .count()
    };
    (0..runs.len()).map(in_second_from).max().unwrap_or(0)
}

/// Checks that the target was used, and never beyond the bound of a cold one.
fn assert_bounded(target: &SiteTarget) {
    let peak = peak_rate(target);
    assert!(peak <= COLD_BOUND, "{peak}");
    assert!(target.runs().len() >= COLD_RATE / 2, "the target was used");
}

/// A site with the target `i-1` that stays cold.
fn cold_site() -> (TestSite, SiteTarget) {
    let mut site = TestSite::new();
    site.store.put("op/config", &cold_config(7));
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    set_cold(&site, "i-1", Duration::from_mins(1));
    (site, target)
}

fn set_cold(site: &TestSite, id: &str, left: Duration) {
    let key = format!("servers/{id}");
    let entry = site.store.value(&key).expect("entry");
    let mut entry: Value = serde_json::from_slice(&entry).expect("JSON");
    entry["cold_left_ms"] = json!(u64::try_from(left.as_millis()).expect("fits"));
    site.store.put(&key, &entry);
}

// A cold target was flooded: each gateway that started took its share by the few peers known yet.
#[tokio::test]
async fn admit_cold_gateways_start_together() {
    let (site, target) = cold_site();
    let gateways = start_gateways(&site, seeds);
    flood(&gateways, Instant::now() + FLOOD_TIME).await;
    assert_bounded(&target);
}

// A cold target was flooded: gateways that did not reach each other did not count each other.
#[tokio::test]
async fn admit_cold_gateways_cut_off_from_each_other() {
    let (site, target) = cold_site();
    let gateways = start_gateways(&site, partner);
    flood(&gateways, Instant::now() + FLOOD_TIME).await;
    assert_bounded(&target);
}

// A target of a failure domain that came back was flooded: its entry did not yet say that it is cold.
#[tokio::test]
async fn admit_cold_domain_returns() {
    let mut site = TestSite::new();
    site.store.put("op/config", &cold_config(7));
    site.store.put("op/evacuate/domain-a", &json!({}));
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateways = start_gateways(&site, seeds);
    for gateway in &gateways {
        let evacuated = || async {
            let answer = call(gateway.address(), request("GET", "/look/", "")).await;
            (answer.status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
        };
        eventually("evacuation", evacuated).await;
    }
    sleep(Duration::from_secs(1)).await;
    site.store.remove("op/evacuate/domain-a");
    flood(&gateways, Instant::now() + Duration::from_secs(2)).await;
    assert_bounded(&target);
}

// Guards against FAILBACK: a target that had crashed was flooded once it took connections again, until the gateways
// had read in its entry that it is cold.
#[tokio::test]
async fn admit_cold_target_restarted() {
    let mut site = TestSite::new();
    site.store.put("op/config", &cold_config(7));
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let gateways = start_gateways(&site, seeds);
    let end = Instant::now() + FLOOD_TIME;
    let crash = async {
        sleep(FLOOD_TIME / 2).await;
        let before = target.runs().len();
        target.crash();
        before
    };
    let ((), before) = tokio::join!(flood(&gateways, end), crash);
    let after = &target.runs()[before..];
    let peak = peak_rate_of(after);
    assert!(peak <= COLD_BOUND, "{peak}");
    assert!(!after.is_empty(), "the target was used");
}

// A request waited for a cold target although its gateway's next slot was known to be too late.
#[tokio::test]
async fn run_call_no_slot_in_time_refused_at_once() {
    let (site, target) = cold_site();
    // Among 400 gateways, each has a slot every 19 s.
    for number in 1..400 {
        let key = format!("amaranthgw/gateways/gateway-{number}");
        site.store.put(&key, &json!({}));
    }
    let gateway = site.start_process(&[], &json!({ "vm": "gateway-0" }));
    // By then the gateway has read the registrations twice.
    sleep(Duration::from_millis(1_500)).await;
    let mut refused = 0;
    for _ in 0..3 {
        let sent_at = Instant::now();
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            assert!(answer.header("retry-after").is_some());
            let waited = sent_at.elapsed();
            assert!(waited < Duration::from_millis(150), "{waited:?}");
            refused += 1;
        }
    }
    assert!(
        refused >= 2,
        "{refused} refused, {} run",
        target.runs().len()
    );
}
