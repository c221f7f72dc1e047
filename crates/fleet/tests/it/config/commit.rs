use std::sync::LazyLock;

use amaranthgw_core::{ChangeNumber, MilliSpan};
use amaranthgw_fleet::config::{
    CommitOutcome, CommitStep, ConfigCommit, ConfigEdit, ConfigError, ConfigRead, ConfigView,
    MAX_LOG_CHANGES, ReadStep, StoreCall, StoreReply, diff_states,
};
use proptest::prelude::*;
use tokio::time::{Duration, Instant};
use yare::parameterized;

use super::fixtures::{
    StoreModel, accept, bring_back, commit, commit_request, read, remove_plan, set_plan,
    set_workspace, take_out,
};

/// Fault that is injected into one call.
#[derive(Clone, Copy, Debug)]
enum CallFault {
    None,
    /// The call takes effect, but its reply is lost.
    ReplyLost,
    /// The call never arrives, which the caller can't distinguish from a lost reply.
    RequestLost,
    /// The call takes effect later, and its reply is lost.
    Delayed,
    /// The connection is refused.
    Refused,
    /// A read returns the log as it was this many writes ago.
    Stale(usize),
    /// The operator's process crashes.
    Crash,
}

fn fault_strategy() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        6 => Just(CallFault::None),
        1 => Just(CallFault::ReplyLost),
        1 => Just(CallFault::RequestLost),
        1 => Just(CallFault::Delayed),
        1 => Just(CallFault::Refused),
        1 => (1..4_usize).prop_map(CallFault::Stale),
        1 => Just(CallFault::Crash),
    ]
}

/// Edits of one operator, some of which conflict with those of others.
fn edits_strategy() -> impl Strategy<Value = Vec<ConfigEdit>> {
    let workspaces = |count: usize| {
        let edits = (0..count).map(|index| set_workspace(&format!("workspace-{index}"), "p0"));
        edits.collect::<Vec<_>>()
    };
    prop_oneof![
        (0..9_u32).prop_map(|weight| vec![set_plan("p0", weight)]),
        Just(vec![set_plan("p1", 1), set_workspace("w1", "p1")]),
        Just(vec![remove_plan("p1")]),
        prop::sample::select(vec!["d1", "d2"]).prop_map(|domain| vec![take_out(domain)]),
        prop::sample::select(vec!["d1", "d2"]).prop_map(|domain| vec![bring_back(domain)]),
        (1..200_usize).prop_map(workspaces),
    ]
}

/// Simulated operator that reads the configuration and then commits edits.
#[derive(Debug)]
struct OperatorModel {
    change: u128,
    edits: Vec<ConfigEdit>,
    read: ConfigRead,
    commit: Option<ConfigCommit>,
    seen: Option<ConfigView>,
    call: Option<StoreCall>,
    outcome: Option<CommitOutcome>,
}

impl OperatorModel {
    fn new(change: u128, edits: Vec<ConfigEdit>, now: Instant) -> Self {
        Self {
            change,
            edits,
            read: ConfigRead::new(now + Duration::from_mins(1)),
            commit: None,
            seen: None,
            call: Some(StoreCall::ReadLog),
            outcome: None,
        }
    }

    fn reply(&mut self, reply: StoreReply, now: Instant) {
        let step = match &mut self.commit {
            Some(commit) => commit.on_reply(reply, now),
            None => match self.read.on_reply(reply, now) {
                ReadStep::Call { call, .. } => return self.call = Some(call),
                ReadStep::Failed(error) => panic!("{error}"),
                ReadStep::Done(view) => self.start_commit(*view, now),
            },
        };
        match step {
            CommitStep::Call { call, .. } => self.call = Some(call),
            CommitStep::Done(outcome) => self.outcome = Some(outcome),
        }
    }

    fn start_commit(&mut self, view: ConfigView, now: Instant) -> CommitStep {
        self.seen = Some(view.clone());
        let commit_request = commit_request(self.change, self.edits.clone());
        let commit = ConfigCommit::new(commit_request, view, now + Duration::from_mins(1));
        self.commit.insert(commit).start()
    }
}

#[derive(Debug)]
struct RaceModel {
    store: StoreModel,
    operators: Vec<OperatorModel>,
    delayed: Vec<StoreCall>,
    now: Instant,
}

impl RaceModel {
    fn step(&mut self, operator: usize, fault: CallFault) {
        let operator = &mut self.operators[operator];
        let Some(call) = operator.call.take() else {
            return;
        };
        let is_write = !matches!(call, StoreCall::ReadLog | StoreCall::ReadBase { .. });
        let lost = if is_write {
            StoreReply::Lost
        } else {
            StoreReply::Failed
        };
        let reply = match fault {
            CallFault::ReplyLost => {
                self.store.call(&call);
                lost
            }
            CallFault::RequestLost => lost,
            CallFault::Delayed => {
                self.delayed.push(call);
                lost
            }
            CallFault::Refused => StoreReply::Failed,
            CallFault::Stale(age) if call == StoreCall::ReadLog => self.store.old_log(age),
            CallFault::None | CallFault::Stale(_) => self.store.call(&call),
            CallFault::Crash => return,
        };
        operator.reply(reply, self.now);
    }

    fn deliver_delayed(&mut self) {
        for call in std::mem::take(&mut self.delayed) {
            self.store.call(&call);
        }
    }

    fn check(&self) {
        for operator in &self.operators {
            let committed = self
                .store
                .history
                .iter()
                .find(|change| change.id == commit_request(operator.change, Vec::new()).id);
            match &operator.outcome {
                Some(CommitOutcome::Accepted(number)) => {
                    assert_eq!(committed.map(|change| change.number), Some(*number));
                }
                Some(CommitOutcome::Unknown) | None => {}
                Some(CommitOutcome::Conflict(conflict)) => {
                    assert_eq!(committed, None, "a conflicting change was committed");
                    assert!(
                        conflict.current > conflict.seen,
                        "a conflict needs an earlier change"
                    );
                    let numbers: Vec<_> = conflict.marks.iter().map(|mark| mark.number).collect();
                    let between = conflict.seen.get() + 1..=conflict.current.get();
                    assert_eq!(numbers, between.map(ChangeNumber::new).collect::<Vec<_>>());
                    assert!(
                        !conflict.edits.is_empty(),
                        "a conflict reports the earlier edits"
                    );
                }
                Some(_) => assert_eq!(committed, None, "a change that failed was committed"),
            }
        }
        self.check_accepted();
    }

    /// Checks that between the state that an operator read and its accepted change no conflicting
    /// change was committed.
    fn check_accepted(&self) {
        for operator in &self.operators {
            let (Some(CommitOutcome::Accepted(number)), Some(seen)) =
                (&operator.outcome, &operator.seen)
            else {
                continue;
            };
            let before = self.store.state_at(ChangeNumber::new(number.get() - 1));
            for between in diff_states(&seen.state, &before) {
                let scopes = operator.edits.iter().map(ConfigEdit::out_scope);
                // Two edits of the lists, which have no scope, conflict as well.
                let is_conflict = |scope| scope == between.out_scope();
                assert!(
                    !scopes.into_iter().any(is_conflict),
                    "{between:?} was committed in between"
                );
            }
        }
    }
}

/// Stores after 0 to 69 changes, so that some schedules reach compaction.
static FILLED: LazyLock<Vec<StoreModel>> = LazyLock::new(|| {
    let mut store = StoreModel::default();
    let mut filled = vec![store.clone()];
    for index in 1..70_u32 {
        let edits = vec![set_plan("p0", index + 10)];
        accept(&mut store, u128::from(index) + 1_000, edits, Instant::now());
        filled.push(store.clone());
    }
    filled
});

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Operators commit concurrently through a faulty service. The reported outcome must match the
    /// log, and no accepted change may overwrite a conflicting one that its operator hasn't seen.
    #[test]
    fn commit_racing_operators(
        filled in prop_oneof![0..3_usize, 60..70_usize],
        edits in prop::collection::vec(edits_strategy(), 1..6),
        schedule in prop::collection::vec((0..6_usize, fault_strategy(), prop::bool::weighted(0.1)), 0..80),
    ) {
        let now = Instant::now();
        let store = FILLED[filled].clone();
        let operators = edits.into_iter().zip(1..).map(|(edits, change)| OperatorModel::new(change, edits, now));
        let mut race = RaceModel { store, operators: operators.collect(), delayed: Vec::new(), now };
        for (operator, fault, is_delivered) in schedule {
            race.step(operator % race.operators.len(), fault);
            if is_delivered {
                race.deliver_delayed();
            }
        }
        race.deliver_delayed();
        for operator in 0..race.operators.len() {
            while race.operators[operator].call.is_some() {
                race.step(operator, CallFault::None);
                race.now += Duration::from_millis(100);
            }
        }
        race.check();
        let (log, _) = race.store.log();
        assert!(log.changes.len() <= MAX_LOG_CHANGES);
    }
}

fn prepared() -> (StoreModel, ConfigView, Instant) {
    let now = Instant::now();
    let mut store = StoreModel::default();
    accept(
        &mut store,
        1,
        vec![set_plan("p0", 1), set_workspace("w0", "p0")],
        now,
    );
    let seen = read(&mut store, now);
    (store, seen, now)
}

#[parameterized(
    commit_race_lists = { vec![set_plan("p1", 1)], vec![set_plan("p2", 1)], false },
    commit_race_same_domain = { vec![take_out("d1")], vec![take_out("d1")], false },
    commit_race_other_domain = { vec![take_out("d1")], vec![take_out("d2")], true },
    commit_race_domain_and_lists = { vec![take_out("d1")], vec![set_plan("p2", 1)], true },
)]
fn commit_race(first: Vec<ConfigEdit>, second: Vec<ConfigEdit>, both_accepted: bool) {
    let (mut store, seen, now) = prepared();
    let winner = commit(
        &mut store,
        commit_request(2, first.clone()),
        seen.clone(),
        now,
    );
    assert_eq!(winner, CommitOutcome::Accepted(ChangeNumber::new(2)));
    let outcome = commit(&mut store, commit_request(3, second), seen, now);
    if both_accepted {
        assert_eq!(outcome, CommitOutcome::Accepted(ChangeNumber::new(3)));
        return;
    }
    assert_eq!(outcome.exit_code(), 3);
    let CommitOutcome::Conflict(conflict) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!((conflict.seen.get(), conflict.current.get()), (1, 2));
    assert_eq!(conflict.edits, first);
    assert_eq!(conflict.changes, store.history[1..]);
    assert_eq!(conflict.marks[0].operator.as_str(), "operator-1");
    assert_eq!(
        store.history.len(),
        2,
        "a conflicting commit changes nothing"
    );
}

#[test]
fn commit_refused_changes_nothing() {
    let (mut store, seen, now) = prepared();
    let outcome = commit(
        &mut store,
        commit_request(2, vec![remove_plan("p0")]),
        seen.clone(),
        now,
    );
    assert!(
        matches!(
            outcome,
            CommitOutcome::Refused(ConfigError::UnknownPlan { .. })
        ),
        "{outcome:?}"
    );
    assert_eq!(outcome.exit_code(), 2);
    assert_eq!(
        commit(&mut store, commit_request(3, Vec::new()), seen.clone(), now),
        CommitOutcome::NoChange
    );
    let edits = (0..20_000).map(|index| set_workspace(&format!("workspace-{index}"), "p0"));
    let outcome = commit(&mut store, commit_request(4, edits.collect()), seen, now);
    assert!(
        matches!(
            outcome,
            CommitOutcome::Refused(ConfigError::TooLarge { .. })
        ),
        "{outcome:?}"
    );
    assert_eq!(store.history.len(), 1);
}

#[parameterized(
    commit_unavailable_not_made = { StoreReply::Failed, 1 },
    commit_unavailable_unknown = { StoreReply::Lost, 4 },
)]
fn commit_unavailable(write_reply: StoreReply, exit_code: u8) {
    let (_, seen, mut now) = prepared();
    let edits = vec![take_out("d1")];
    let mut commit =
        ConfigCommit::new(commit_request(2, edits), seen, now + Duration::from_secs(2));
    let mut step = commit.start();
    let mut waited = MilliSpan::default();
    let outcome = loop {
        match step {
            CommitStep::Call { call, after } => {
                now += after.duration();
                waited = MilliSpan::new(waited.millis() + after.millis());
                let is_write = matches!(call, StoreCall::WriteLog { .. });
                let reply = if is_write {
                    write_reply.clone()
                } else {
                    StoreReply::Failed
                };
                step = commit.on_reply(reply, now);
            }
            CommitStep::Done(outcome) => break outcome,
        }
    };
    assert_eq!(outcome.exit_code(), exit_code);
    assert!(
        waited.millis() <= 2_000,
        "the commit continued after its deadline"
    );
}

#[test]
fn commit_compacts_and_sweeps() {
    let (mut store, _, now) = prepared();
    for index in 0..400_u32 {
        accept(
            &mut store,
            u128::from(index) + 10,
            vec![set_plan("p0", index + 2)],
            now,
        );
    }
    let (log, _) = store.log();
    assert!(log.changes.len() <= MAX_LOG_CHANGES);
    assert!(log.base.get() > 300);
    assert!(
        store.bases.len() <= 2,
        "older bases were not removed: {:?}",
        store.bases.keys()
    );
    assert_eq!(
        read(&mut store, now).state,
        store.state_at(ChangeNumber::new(401))
    );
}

#[parameterized(
    commit_lost_answer_in_log = { 1, CommitOutcome::Accepted(ChangeNumber::new(2)) },
    commit_lost_answer_in_base = { 100, CommitOutcome::Accepted(ChangeNumber::new(2)) },
    commit_lost_answer_forgotten = { 400, CommitOutcome::Unknown },
)]
fn commit_lost_answer(later_changes: u32, expected: CommitOutcome) {
    let (mut store, seen, now) = prepared();
    let edits = vec![take_out("d1")];
    let mut commit =
        ConfigCommit::new(commit_request(2, edits), seen, now + Duration::from_mins(1));
    let CommitStep::Call { call, .. } = commit.start() else {
        panic!("no call")
    };
    store.call(&call);
    for index in 0..later_changes {
        accept(
            &mut store,
            u128::from(index) + 10,
            vec![set_plan("p0", index + 2)],
            now,
        );
    }
    let mut step = commit.on_reply(StoreReply::Lost, now);
    let outcome = loop {
        match step {
            CommitStep::Call { call, .. } => step = commit.on_reply(store.call(&call), now),
            CommitStep::Done(outcome) => break outcome,
        }
    };
    assert_eq!(outcome, expected);
}
