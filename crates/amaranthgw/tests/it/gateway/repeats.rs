//! Repeats over all gateways, as processes that are killed, stopped and cut off in series while targets
//! fail. Repeats are counted by service and window as the users do.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use amaranthgw_standins::site::{SiteArrival, SiteTarget, StoreFault, TargetBehaviour};
use http::StatusCode;
use serde_json::json;
use tokio::time::{Instant, sleep};
use yare::parameterized;

use super::env::{TestSite, call, config, request};
use super::fleet::{GatewayFleet, SentCall};
use crate::env::eventually;

/// Bounds of [`GatewayFleet`].
const RATIO: f64 = 0.2;
const SLACK: f64 = 94.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Services of the routes, and paths that they serve.
const SERVICES: [(&str, &str); 2] = [("desk", "/look/"), ("draft", "/draft/")];
/// Targets of each service.
const TARGETS: usize = 6;
/// Pause of each caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(60);
/// Time for which requests are sent, longer than a window.
const RUN_TIME: Duration = Duration::from_secs(14);

/// Adds `TARGETS` targets for each service, all of which behave as `failing`.
fn add_targets(fleet: &mut GatewayFleet, failing: &TargetBehaviour) -> Vec<(usize, SiteTarget)> {
    let mut targets = Vec::new();
    for (index, (service, _path)) in SERVICES.iter().enumerate() {
        for number in 0..TARGETS {
            let id = format!("i-{service}-{number}");
            targets.push((index, fleet.site.add_target(&id, service, failing.clone())));
        }
    }
    targets
}

/// Requests and arrivals of one service.
#[derive(Default)]
struct ServiceTimes {
    sent: Vec<Instant>,
    repeats: Vec<Instant>,
}

fn times_of(service: usize, calls: &[SentCall], targets: &[(usize, SiteTarget)]) -> ServiceTimes {
    let path = SERVICES[service].1;
    let sent = calls.iter().filter(|call| call.path == path);
    let mut arrivals: Vec<SiteArrival> = Vec::new();
    for (_, target) in targets.iter().filter(|(index, _)| *index == service) {
        arrivals.extend(target.arrival_log());
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = HashSet::new();
    arrivals.retain(|arrival| !seen.insert(arrival.request.clone()));
    ServiceTimes {
        sent: sent.map(|call| call.sent_at).collect(),
        repeats: arrivals.iter().map(|arrival| arrival.at).collect(),
    }
}

fn count(times: &[Instant], from: Instant) -> f64 {
    let within = |at: &&Instant| **at >= from && **at < from + WINDOW;
    let count = times.iter().filter(within).count();
    f64::from(u32::try_from(count).expect("count"))
}

/// Checks every window in which a repeat is the first.
fn assert_within_budget(calls: &[SentCall], targets: &[(usize, SiteTarget)]) {
    for (service, (name, _path)) in SERVICES.iter().enumerate() {
        let times = times_of(service, calls, targets);
        for from in &times.repeats {
            let repeats = count(&times.repeats, *from);
            let requests = [Duration::ZERO, WINDOW / 2, WINDOW].map(|shift| {
                let from = from.checked_sub(shift);
                from.map_or(0.0, |from| count(&times.sent, from))
            });
            let most = requests.into_iter().fold(0.0, f64::max);
            let allowed = RATIO * most + SLACK;
            assert!(
                repeats <= allowed,
                "{name}: {repeats} repeats for {requests:?} requests, {allowed} allowed"
            );
        }
    }
}

/// What happens to the gateways while all targets fail.
#[derive(Clone, Copy, Debug)]
enum FleetTrouble {
    /// All are killed, again and again.
    Herd,
    /// One after the other is killed.
    Series,
    /// One after the other is stopped, with its successor running beside it.
    Rolled,
    /// The store falls silent again and again, and one after the other is killed.
    Cut,
    /// Many are added that can't read how many there are.
    AddedUncounted,
}

async fn run_trouble(fleet: &mut GatewayFleet, trouble: FleetTrouble) {
    let until = Instant::now() + RUN_TIME;
    let mut next = 0;
    while Instant::now() < until {
        match trouble {
            FleetTrouble::Herd => {
                for gateway in 0..fleet.len() {
                    fleet.kill(gateway);
                    fleet.launch_again(gateway);
                }
                sleep(Duration::from_millis(1_300)).await;
            }
            FleetTrouble::Series => {
                fleet.kill(next % fleet.len());
                fleet.launch_again(next % fleet.len());
                sleep(Duration::from_millis(200)).await;
            }
            FleetTrouble::Rolled => {
                let gateway = next % fleet.len();
                fleet.stop(gateway);
                fleet.launch_again(gateway);
                sleep(Duration::from_millis(300)).await;
            }
            FleetTrouble::Cut => {
                let is_cut = next % 4 == 3;
                let fault = if is_cut {
                    StoreFault::Silent
                } else {
                    StoreFault::None
                };
                fleet.site.store.set_fault(fault);
                fleet.kill(next % fleet.len());
                fleet.launch_again(next % fleet.len());
                sleep(Duration::from_millis(300)).await;
            }
            FleetTrouble::AddedUncounted => {
                if next == 0 {
                    fleet.add_uncounted(30);
                }
                sleep(Duration::from_millis(500)).await;
            }
        }
        next += 1;
    }
}

// Guards against BUDGET: processes that had just started, and those that didn't know how many there are,
// sent more repeats together than are allowed.
#[parameterized(
    herd = { FleetTrouble::Herd },
    series = { FleetTrouble::Series },
    rolled = { FleetTrouble::Rolled },
    cut = { FleetTrouble::Cut },
    added_uncounted = { FleetTrouble::AddedUncounted },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn run_fleet_repeats_within_budget(trouble: FleetTrouble) {
    let mut fleet = GatewayFleet::start(6);
    let targets = add_targets(&mut fleet, &TargetBehaviour::Answer(500));
    fleet.wait_until_ready().await;
    let callers = fleet.run_callers(&SERVICES.map(|(_, path)| path), CALL_PAUSE);
    run_trouble(&mut fleet, trouble).await;
    let calls = callers.stop().await;
    let answered: HashMap<u16, usize> = SentCall::statuses(&calls);
    assert!(
        answered.contains_key(&500),
        "answers of targets: {answered:?}"
    );
    assert_within_budget(&calls, &targets);
}

// Guards against BUDGET: a request whose connections were refused counted as several, each of which
// allowed a part of a retry.
#[tokio::test]
async fn run_call_closed_ports_earn_no_retries() {
    let mut site = TestSite::with_routes();
    let failing = TargetBehaviour::Answer(500);
    let targets = ["i-1", "i-2"].map(|id| site.add_target(id, "desk", failing.clone()));
    // Targets of the gateway's own domain are tried first.
    let _ports: Vec<_> = (0..6)
        .map(|number| site.add_closed_target(&format!("i-closed-{number}"), "desk", "domain-b"))
        .collect();
    let settings = json!({ "domain": "domain-b", "retry_ratio": 0.2, "retry_slack": 0 });
    let gateway = site.start_gateway_with(&settings).await;
    let answer = call(gateway.address(), request("GET", "/look/", "")).await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    let arrivals: usize = targets.iter().map(SiteTarget::arrivals).sum();
    assert_eq!(arrivals, 1, "one request allows a fifth of a retry");
}

// A granted retry that never reached a target isn't taken from the budget once more.
#[tokio::test]
async fn run_call_closed_ports_keep_the_retry() {
    let mut site = TestSite::with_routes();
    let failing = TargetBehaviour::Answer(500);
    let first = site.add_target("i-1", "desk", failing);
    let last = site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    // Targets of the own domain come first, those with one slot last.
    let mut entry = site.entry("i-2");
    entry["slots"] = 1.into();
    entry["zone"] = "domain-b".into();
    site.store.put("servers/i-2", &entry);
    let _ports: Vec<_> = (0..4)
        .map(|number| site.add_closed_target(&format!("i-closed-{number}"), "desk", "domain-b"))
        .collect();
    let settings = json!({ "retry_ratio": 5, "retry_slack": 0 });
    let gateway = site.start_gateway_with(&settings).await;
    let answer = call(gateway.address(), request("GET", "/look/", "")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!((first.arrivals(), last.arrivals()), (1, 1));
}

// What a start refuses: a rejected request isn't sent again before the gateway knows its share of the
// slack, and gets a true "not run".
#[tokio::test]
async fn run_call_repeated_once_share_is_known() {
    let mut site = TestSite::with_routes();
    let targets =
        ["i-1", "i-2", "i-3", "i-4"].map(|id| site.add_target(id, "desk", TargetBehaviour::Refuse));
    let arrivals = || targets.iter().map(SiteTarget::arrivals).sum::<usize>();
    let gateway = site.start_gateway().await;
    let pay = || call(gateway.address(), request("POST", "/pay/", "deposit"));
    assert_eq!(pay().await.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(arrivals(), 1);
    let is_repeated = || async {
        let before = arrivals();
        assert_eq!(pay().await.status, StatusCode::SERVICE_UNAVAILABLE);
        sleep(Duration::from_millis(200)).await;
        (arrivals() > before + 1).then_some(())
    };
    eventually("a repeat", is_repeated).await;
}

// Guards against BUDGET: nothing bounded the repeats of a service whose row of the configuration can't be
// read.
#[tokio::test]
async fn run_call_service_without_row() {
    const CALLS: usize = 30;
    let mut site = TestSite::new();
    let mut config = config(7, "desk");
    config["services"][0] = json!({ "name": 5 });
    site.store.put("op/config", &config);
    let failing = TargetBehaviour::Answer(500);
    let targets = ["i-1", "i-2"].map(|id| site.add_target(id, "desk", failing.clone()));
    let gateway = site.start_gateway().await;
    for _ in 0..CALLS {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    }
    let repeats = targets.iter().map(SiteTarget::arrivals).sum::<usize>() - CALLS;
    assert!(
        repeats <= CALLS / 5,
        "{repeats} repeats for {CALLS} requests"
    );
}
