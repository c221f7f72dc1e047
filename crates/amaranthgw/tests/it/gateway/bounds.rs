//! Bounds of single requests: the servers that run them, and the time that these are given.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use amaranthgw_standins::site::{SiteTarget, StreamPause, TargetBehaviour};
use http::Request;
use http_body_util::Full;
use tokio::time::sleep;
use yare::parameterized;

use super::env::{TestSite, ample_retries, call, config, request};

/// Servers that one request may run on, as the routes say.
const ATTEMPTS: usize = 2;
/// Time by which a server may be given more than is left.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(2_500);
const TARGETS: usize = 6;
const CALLS: usize = 8;

fn stream(events: u32, gap_ms: u64, breaks_in: u32) -> TargetBehaviour {
    TargetBehaviour::Stream {
        events,
        gap: Duration::from_millis(gap_ms),
        breaks_in,
    }
}

fn numbered(path: &str, number: usize) -> Request<Full<bytes::Bytes>> {
    let mut request = request("POST", path, "enquiry");
    let id = format!("r-{number}").parse().expect("header");
    request.headers_mut().insert("x-amaranthgw-request-id", id);
    request
}

/// Sends `CALLS` requests at once to targets that behave as one of `behaviours` in turn; streams pause for
/// longer than a silent target is waited for.
async fn run_calls(path: &'static str, behaviours: &[TargetBehaviour]) -> Vec<SiteTarget> {
    let mut site = TestSite::new();
    site.store.put("op/config", &config(7, "desk"));
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        for service in ["desk", "draft"] {
            let id = format!("i-{service}-{number}");
            let behaviour = behaviours[number % behaviours.len()].clone();
            let target = site.add_target(&id, service, behaviour);
            target.set_pause(StreamPause {
                path: path.into(),
                event: 3,
                time: Duration::from_millis(1_900),
            });
            targets.push(target);
        }
    }
    let gateway = site.start_gateway_with(&ample_retries()).await;
    let address = gateway.address();
    let calls = (0..CALLS).map(|number| call(address, numbered(path, number)));
    futures_util::future::join_all(calls).await;
    sleep(Duration::from_millis(100)).await;
    targets
}

// BUDGET: no request runs on more servers than its route's attempts, however these fail.
#[parameterized(
    look_failing = { "/look/", TargetBehaviour::Answer(500) },
    look_closing = { "/look/", TargetBehaviour::CloseAfterRun },
    look_cut = { "/look/", TargetBehaviour::BreakBody },
    look_foreign = { "/look/", TargetBehaviour::WrongRequestId },
    look_hanging = { "/look/", TargetBehaviour::Hang },
    pay_closing = { "/pay/", TargetBehaviour::CloseAfterRun },
    draft_failing = { "/draft/", TargetBehaviour::Answer(500) },
    draft_closing = { "/draft/", TargetBehaviour::CloseAfterRun },
    draft_cut = { "/draft/", stream(6, 20, 4) },
    draft_stalled = { "/draft/", TargetBehaviour::Stall { events: 2 } },
    draft_paused = { "/draft/", stream(6, 20, 0) },
    draft_hanging = { "/draft/", TargetBehaviour::Hang },
)]
#[test_macro(tokio::test)]
async fn run_call_within_attempts(path: &'static str, behaviour: TargetBehaviour) {
    let targets = run_calls(path, &[behaviour]).await;
    let mut servers: HashMap<String, HashSet<usize>> = HashMap::new();
    for (index, target) in targets.iter().enumerate() {
        for arrival in target.arrival_log() {
            let request = arrival.request.to_string();
            servers.entry(request).or_default().insert(index);
        }
    }
    assert!(!servers.is_empty());
    let most = servers.values().map(HashSet::len).max();
    assert!(most <= Some(ATTEMPTS), "{servers:?}");
}

// BUDGET: each send gives its server no more time than the caller has left, also the second one after a
// silent server was waited for.
#[parameterized(
    look_failing = { "/look/", TargetBehaviour::Answer(500), TargetBehaviour::Answer(500) },
    look_hanging = { "/look/", TargetBehaviour::Hang, TargetBehaviour::Answer(200) },
    draft_stalled = { "/draft/", TargetBehaviour::Stall { events: 2 }, stream(90, 25, 0) },
)]
#[test_macro(tokio::test)]
async fn run_call_gives_time_left(
    path: &'static str,
    first: TargetBehaviour,
    second: TargetBehaviour,
) {
    let targets = run_calls(path, &[first, second]).await;
    let mut runs: Vec<_> = targets.iter().flat_map(SiteTarget::runs).collect();
    runs.sort_by_key(|run| run.arrived_at);
    assert!(runs.len() > CALLS, "some are sent again");
    let mut first_runs = HashMap::new();
    for run in &runs {
        let request = run.header("x-amaranthgw-request-id").expect("id");
        let given = run.header("x-amaranthgw-deadline-ms").expect("deadline");
        let given = Duration::from_millis(given.parse().expect("milliseconds"));
        assert!(given <= DEADLINE);
        let first = *first_runs.entry(request).or_insert(run.arrived_at);
        assert!(run.arrived_at + given <= first + DEADLINE + DEADLINE_MARGIN);
    }
}
