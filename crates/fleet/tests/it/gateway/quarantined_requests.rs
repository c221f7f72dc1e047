//! Which whole requests crashes convict, and which sound ones go on beside them.

use std::time::Duration;

use amaranthgw_core::{PartId, TargetId, WorkspaceId};
use amaranthgw_fleet::gateway::{CallMarks, CallQuarantine, PartVerdict, request_mark};
use tokio::time::Instant;
use yare::parameterized;

/// Time between two crashes, longer than one event.
const CRASH_GAP: Duration = Duration::from_secs(5);
/// Time from two crashes of one request to its trial.
const TRIAL_DELAY: Duration = Duration::from_mins(2);
/// Time until each of several suspects is tried.
const RIVAL_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// Time within which requests that were answered count as known.
const KNOWN_TIME: Duration = Duration::from_mins(1);

fn workspace() -> WorkspaceId {
    "school".parse().expect("workspace")
}

/// A quarantine and a clock, with calls of one workspace whose requests have numbers.
struct TestCalls {
    quarantine: CallQuarantine,
    now: Instant,
}

impl TestCalls {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            quarantine: CallQuarantine::new(now),
            now,
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    fn crash(&self, target: &str, request: u64) {
        let target: TargetId = target.parse().expect("target");
        let workspace = workspace();
        let marks = marks(&workspace, request);
        self.quarantine.record_crash(&target, &marks, self.now);
    }

    fn answer(&self, request: u64) {
        let workspace = workspace();
        let marks = marks(&workspace, request);
        self.quarantine.record_answered(&marks, self.now);
    }

    fn crash_in_answer(&self, target: &str, request: u64) {
        let target: TargetId = target.parse().expect("target");
        let workspace = workspace();
        let marks = marks(&workspace, request);
        self.quarantine
            .record_crash_in_answer(&target, &marks, self.now);
    }

    fn begin(&self, request: u64) {
        let workspace = workspace();
        let marks = marks(&workspace, request);
        self.quarantine.record_begun(&marks, self.now);
    }

    fn check(&self, request: u64) -> PartVerdict {
        let workspace = workspace();
        self.quarantine.check(&marks(&workspace, request), self.now)
    }
}

const fn marks(workspace: &WorkspaceId, request: u64) -> CallMarks<'_> {
    CallMarks {
        workspace: Some(workspace),
        parts: &[],
        request: PartId::new(request),
    }
}

// Guards against BUDGET: a request without parts of a prompt was never recognised.
#[test]
fn check_request_of_two_crashes() {
    let mut calls = TestCalls::new();
    calls.crash("i-1", 1);
    assert_eq!(calls.check(1), PartVerdict::Allowed);
    calls.pass(Duration::from_millis(60));
    calls.crash("i-2", 1);
    assert_eq!(calls.check(1), PartVerdict::Refused(TRIAL_DELAY));
    assert_eq!(calls.check(2), PartVerdict::Allowed);
}

// Streams that were cut twice together are refused once a third crash tells which of them it is.
#[test]
fn check_request_begun_rivals() {
    let mut calls = TestCalls::new();
    for target in ["i-1", "i-2"] {
        calls.crash_in_answer(target, 1);
        calls.crash_in_answer(target, 2);
        calls.pass(Duration::from_secs(1));
    }
    assert_eq!(calls.check(1), PartVerdict::Allowed);
    assert_eq!(calls.check(2), PartVerdict::Allowed);
    calls.answer(2);
    calls.crash_in_answer("i-3", 1);
    assert!(matches!(calls.check(1), PartVerdict::Refused(_)));
    assert_eq!(calls.check(2), PartVerdict::Allowed);
}

// Guards against BUDGET: the first event of a stream cleared a request that crashes targets after it.
#[test]
fn check_request_of_two_crashes_begun_between() {
    let mut calls = TestCalls::new();
    calls.begin(1);
    calls.crash_in_answer("i-1", 1);
    calls.pass(Duration::from_millis(60));
    calls.begin(1);
    calls.crash_in_answer("i-2", 1);
    assert_eq!(calls.check(1), PartVerdict::Refused(TRIAL_DELAY));
    calls.pass(Duration::from_millis(60));
    calls.answer(1);
    assert_eq!(calls.check(1), PartVerdict::Allowed);
}

// All that a target runs and has queued is suspected, not the first few.
#[test]
fn check_request_among_many_suspects() {
    let mut calls = TestCalls::new();
    for target in ["i-1", "i-2"] {
        for request in 2..34 {
            calls.crash(target, request);
        }
        calls.crash(target, 1);
        calls.pass(Duration::from_secs(3));
        for request in 2..34 {
            calls.answer(request);
        }
    }
    assert!(matches!(calls.check(1), PartVerdict::Refused(_)));
    assert_eq!(calls.check(2), PartVerdict::Allowed);
}

// Two reports of one crash are one crash.
#[test]
fn check_request_of_one_crash_told_twice() {
    let mut calls = TestCalls::new();
    calls.crash("i-1", 1);
    calls.pass(Duration::from_millis(60));
    calls.crash("i-1", 1);
    assert_eq!(calls.check(1), PartVerdict::Allowed);
}

// A sound request that comes often is answered between the crashes of a deadly one beside it.
#[test]
fn check_request_beside_deadly_one() {
    let mut calls = TestCalls::new();
    for target in ["i-1", "i-2", "i-3"] {
        calls.crash(target, 1);
        calls.crash(target, 2);
        calls.pass(Duration::from_millis(300));
        calls.answer(2);
        calls.pass(CRASH_GAP);
    }
    assert!(matches!(calls.check(1), PartVerdict::Refused(_)));
    assert_eq!(calls.check(2), PartVerdict::Allowed);
}

// A request that was answered a moment ago is convicted by the third crash only.
#[test]
fn check_request_known_before() {
    let mut calls = TestCalls::new();
    calls.answer(1);
    calls.pass(CRASH_GAP);
    calls.crash("i-1", 1);
    calls.pass(CRASH_GAP);
    calls.crash("i-2", 1);
    assert_eq!(calls.check(1), PartVerdict::Allowed);
    calls.pass(CRASH_GAP);
    calls.crash("i-3", 1);
    assert!(matches!(calls.check(1), PartVerdict::Refused(_)));
}

#[test]
fn check_request_known_long_before() {
    let mut calls = TestCalls::new();
    calls.answer(1);
    calls.pass(KNOWN_TIME);
    calls.crash("i-1", 1);
    calls.crash("i-2", 1);
    assert!(matches!(calls.check(1), PartVerdict::Refused(_)));
}

// A sound request that was under way in both crashes of a deadly one is tried soon, and goes on.
#[test]
fn check_request_rivals() {
    let mut calls = TestCalls::new();
    for target in ["i-1", "i-2"] {
        calls.crash(target, 1);
        calls.crash(target, 2);
    }
    for request in [1, 2] {
        let verdict = calls.check(request);
        assert_eq!(verdict, PartVerdict::Refused(RIVAL_TRIAL_DELAY));
    }
    calls.pass(RIVAL_TRIAL_DELAY);
    assert!(matches!(calls.check(2), PartVerdict::Refused(_)));
    let until = calls.now + CRASH_GAP;
    for due in calls.quarantine.due_trials(calls.now) {
        calls.quarantine.open_trial(&due, until);
    }
    assert_eq!(calls.check(2), PartVerdict::Trial);
    calls.answer(2);
    assert_eq!(calls.check(2), PartVerdict::Allowed);
    // The other one is the cause, and waits for its own trial.
    assert!(matches!(calls.check(1), PartVerdict::Refused(left) if left > RIVAL_TRIAL_DELAY));
}

// A request that was sent again during the loss of a failure domain.
#[test]
fn check_request_sent_twice_in_outage() {
    let calls = TestCalls::new();
    for target in ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"] {
        calls.crash(target, 100);
    }
    for target in ["i-1", "i-2"] {
        calls.crash(target, 1);
    }
    assert_eq!(calls.check(1), PartVerdict::Allowed);
    assert!(matches!(calls.check(100), PartVerdict::Refused(_)));
}

// Gateways learn of each other's crashes, in any order and with answers in between.
#[test]
fn adopt_request_told_by_peer() {
    let first = TestCalls::new();
    let mut second = TestCalls::new();
    second.now = first.now;
    first.crash("i-1", 1);
    second.crash("i-2", 1);
    let news = first
        .quarantine
        .news_for(second.quarantine.digest(), first.now);
    assert!(second.quarantine.adopt(&news.expect("news"), second.now));
    assert!(matches!(second.check(1), PartVerdict::Refused(_)));
    second.pass(Duration::from_secs(1));
    second.answer(1);
    let news = second
        .quarantine
        .news_for(first.quarantine.digest(), second.now);
    assert!(first.quarantine.adopt(&news.expect("news"), second.now));
    assert_eq!(first.quarantine.digest(), second.quarantine.digest());
    assert_eq!(first.check(1), PartVerdict::Allowed);
}

// Evidence from the key-value service convicts the same request.
#[test]
fn adopt_request_of_store() {
    let calls = TestCalls::new();
    calls.crash("i-1", 1);
    calls.crash("i-2", 1);
    let verdicts = calls.quarantine.verdicts();
    assert_eq!(verdicts.len(), 1);
    assert_eq!(verdicts[0].key_label(), "request-1");
    let evidence = calls.quarantine.own_evidence(&verdicts[0], calls.now);
    let text = serde_json::to_string(&evidence).expect("text");
    let restarted = TestCalls::new();
    let evidence = serde_json::from_str(&text).expect("evidence");
    assert!(restarted.quarantine.adopt(&evidence, restarted.now));
    assert!(matches!(restarted.check(1), PartVerdict::Refused(_)));
    assert_eq!(restarted.check(2), PartVerdict::Allowed);
}

#[parameterized(
    other_workspace = { "club", "GET", "/look/1", "" },
    other_method = { "school", "PUT", "/look/1", "" },
    other_path = { "school", "GET", "/look/2", "" },
    other_query = { "school", "GET", "/look/1?a=1", "" },
    other_body = { "school", "GET", "/look/1", "b" },
    other_split = { "school", "GET", "/look/", "1" },
)]
fn request_mark_differs(workspace: &str, method: &str, path: &str, body: &str) {
    let mark = |workspace: &str, method, path, body: &str| {
        let workspace = workspace.parse().expect("workspace");
        request_mark(Some(&workspace), method, path, body.as_bytes())
    };
    let known = mark("school", "GET", "/look/1", "");
    assert_eq!(known, mark("school", "GET", "/look/1", ""));
    assert_ne!(known, mark(workspace, method, path, body));
}
