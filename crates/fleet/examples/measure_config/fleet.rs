//! Whole fleets of followers on a simulated clock: time to be in force and cost of control.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use amaranthgw_core::{StoreRevision, VmId};
use amaranthgw_fleet::config::{
    ConfigBase, ConfigFollower, ConfigLog, ConfigMessage, FollowerEffect, KEPT_LOG_BYTES,
    MAX_LOG_BYTES, RelayPlan, StoreCall, StoreReply,
};
use tokio::time::{Duration, Instant};

use crate::sizes::{configured, one_edit};
use crate::{SEED, number, vm_list};

/// Nodes of each measured fleet.
const FLEETS: [usize; 3] = [100, 1_000, 11_700];
/// Time before the first measured change.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time over which changes are made and messages are counted.
const MEASURED: Duration = Duration::from_mins(1);
/// Time between two changes: 39,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_215);
/// Nodes that are cut off from their peers, in the second row of each fleet.
const ISOLATED: usize = 5;
/// Time after the last change in which it comes into force everywhere.
const DRAIN: Duration = Duration::from_mins(2);
/// Changes in the log when the measurement begins.
const PREPARED_CHANGES: usize = 20;
/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(50);
/// Shortest and longest time of a message or half a call, in microseconds.
const LATENCY_US: std::ops::Range<u64> = 500..5_000;

enum FleetEvent {
    Tick,
    Message { from: usize, message: ConfigMessage },
    Call(StoreCall),
    Reply(StoreReply),
    WatchEnd(u64),
}

/// The key-value service: the log, and the base that it follows.
struct StoreState {
    base: ConfigBase,
    log: ConfigLog,
    revision: StoreRevision,
    watches: HashMap<usize, u64>,
    calls: usize,
}

struct FleetModel {
    now: Instant,
    random: fastrand::Rng,
    store: StoreState,
    watchers: HashSet<usize>,
    names: Vec<VmId>,
    positions: HashMap<VmId, usize>,
    followers: Vec<ConfigFollower>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    payloads: HashMap<u64, (usize, FleetEvent)>,
    next_event: u64,
    made_at: Vec<Instant>,
    applied: Vec<usize>,
    is_isolated: Vec<bool>,
    delays: Vec<(usize, Duration)>,
    messages: Vec<usize>,
    bytes: Vec<usize>,
}

pub fn print_spread() {
    for nodes in FLEETS {
        for isolated in [0, ISOLATED] {
            print_row(nodes, isolated);
        }
    }
}

fn print_row(nodes: usize, isolated: usize) {
    let mut fleet = FleetModel::new(nodes);
    for _ in 0..PREPARED_CHANGES {
        fleet.change();
    }
    fleet.run(WARM_UP);
    fleet.isolate(isolated);
    fleet.forget();
    let mut made = Duration::ZERO;
    while made < MEASURED {
        fleet.change();
        fleet.run(CHANGE_INTERVAL);
        made += CHANGE_INTERVAL;
    }
    let costs = fleet.costs(made);
    fleet.run(DRAIN);
    let changes = fleet.made_at.len() - PREPARED_CHANGES;
    assert_eq!(
        fleet.delays.len(),
        nodes * changes,
        "every change at every node"
    );
    let [p50, p99, max] = fleet.delays_ms(false);
    let [isolated_p50, _, isolated_max] = fleet.delays_ms(true);
    println!(
        "| {nodes} | {isolated} | {p50} | {p99} | {max} | {isolated_p50} | {isolated_max} | {costs} |"
    );
}

impl FleetModel {
    fn new(nodes: usize) -> Self {
        let now = Instant::now();
        let vms = vm_list(nodes);
        let (_, state) = configured(10, 3);
        let base = ConfigBase {
            state: state.clone(),
            marks: Vec::new(),
        };
        let log = ConfigLog {
            base: state.number,
            ..ConfigLog::default()
        };
        let mut fleet = Self {
            now,
            random: fastrand::Rng::with_seed(SEED),
            store: StoreState {
                base,
                log,
                revision: StoreRevision::new(1),
                watches: HashMap::new(),
                calls: 0,
            },
            watchers: HashSet::new(),
            names: vms.iter().map(|row| row.vm.clone()).collect(),
            positions: vms.iter().map(|row| row.vm.clone()).zip(0..).collect(),
            followers: Vec::new(),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            next_event: 0,
            made_at: Vec::new(),
            applied: vec![0; nodes],
            is_isolated: vec![false; nodes],
            delays: Vec::new(),
            messages: vec![0; nodes],
            bytes: vec![0; nodes],
        };
        for (node, row) in vms.iter().enumerate() {
            let mut follower = ConfigFollower::new(fleet.random.u64(..), now);
            let plan = RelayPlan::new(&row.vm, &row.domain, &vms);
            if plan.is_watcher() {
                fleet.watchers.insert(node);
            }
            follower.set_relay(plan);
            fleet.followers.push(follower);
            let phase = TICK.mul_f64(fleet.random.f64());
            fleet.push(phase, node, FleetEvent::Tick);
        }
        fleet
    }

    fn forget(&mut self) {
        self.store.calls = 0;
        self.delays.clear();
        self.messages.fill(0);
        self.bytes.fill(0);
    }

    fn change(&mut self) {
        let mut state = self.store.base.state.clone();
        for change in &self.store.log.changes {
            state.apply(change).expect("valid change");
        }
        let change = one_edit(&state, self.made_at.len() % 10);
        self.store.log.changes.push(change);
        self.store.revision = self.store.revision.next();
        self.made_at.push(self.now);
        self.store.compact();
        let watches = std::mem::take(&mut self.store.watches);
        for (node, _) in watches {
            self.send_log(node);
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, number))) = self.events.pop() else {
                break;
            };
            self.now = at;
            if let Some((node, event)) = self.payloads.remove(&number) {
                self.happen(node, event);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, node: usize, event: FleetEvent) {
        let now = self.now;
        let effects = match event {
            FleetEvent::Tick => {
                self.push(TICK, node, FleetEvent::Tick);
                self.followers[node].tick(now)
            }
            FleetEvent::Message { from, message } => {
                self.followers[node].on_message(&self.names[from], message, now)
            }
            FleetEvent::Call(call) => return self.serve(node, &call),
            FleetEvent::Reply(reply) => self.followers[node].on_reply(reply, now),
            FleetEvent::WatchEnd(watch) => {
                if self.store.watches.get(&node) == Some(&watch) {
                    self.store.watches.remove(&node);
                    self.push_late(node, FleetEvent::Reply(StoreReply::Unchanged));
                }
                return;
            }
        };
        for effect in effects {
            self.perform(node, effect);
        }
    }

    fn serve(&mut self, node: usize, call: &StoreCall) {
        self.store.calls += 1;
        if let StoreCall::WatchLog { after, wait } = call
            && *after >= self.store.revision
        {
            let watch = self.next_event;
            self.store.watches.insert(node, watch);
            self.push(wait.duration(), node, FleetEvent::WatchEnd(watch));
            return;
        }
        let reply = match call {
            StoreCall::ReadBase { .. } => StoreReply::Base(Box::new(self.store.base.clone())),
            _ => return self.send_log(node),
        };
        self.push_late(node, FleetEvent::Reply(reply));
    }

    fn send_log(&mut self, node: usize) {
        let log = self.store.log.clone();
        self.bytes[node] += encoded_len(&log);
        let revision = self.store.revision;
        self.push_late(node, FleetEvent::Reply(StoreReply::Log { log, revision }));
    }

    fn perform(&mut self, node: usize, effect: FollowerEffect) {
        match effect {
            FollowerEffect::Store(call) => self.push_late(node, FleetEvent::Call(call)),
            FollowerEffect::Send { peer, message } => {
                let size = encoded_len(&message);
                let to = self.positions[&peer];
                if self.is_isolated[node] || self.is_isolated[to] {
                    return;
                }
                for side in [node, to] {
                    self.messages[side] += 1;
                    self.bytes[side] += size;
                }
                self.push_late(
                    to,
                    FleetEvent::Message {
                        from: node,
                        message,
                    },
                );
            }
            FollowerEffect::Applied(_) => {
                self.note_applied(node);
            }
            other => panic!("{other:?}"),
        }
    }

    fn push_late(&mut self, node: usize, event: FleetEvent) {
        let latency = Duration::from_micros(self.random.u64(LATENCY_US));
        self.push(latency, node, event);
    }

    fn push(&mut self, after: Duration, node: usize, event: FleetEvent) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((self.now + after, number)));
        self.payloads.insert(number, (node, event));
    }

    /// Cuts `count` nodes that do not watch off from all their peers.
    fn isolate(&mut self, count: usize) {
        let is_watcher = |node: &usize| self.watchers.contains(node);
        let others = (0..self.names.len()).rev().filter(|node| !is_watcher(node));
        for node in others.take(count) {
            self.is_isolated[node] = true;
        }
    }

    /// Notes the delay of each change that has just come into force at `node`.
    fn note_applied(&mut self, node: usize) {
        // The base is change 1.
        let number = self.followers[node].number().get();
        let applied = usize::try_from(number).map_or(0, |number| number - 1);
        for change in self.applied[node]..applied {
            self.delays.push((node, self.now - self.made_at[change]));
        }
        self.applied[node] = applied;
    }

    /// Median, 99th percentile and maximum of the delays, in milliseconds.
    fn delays_ms(&self, is_isolated: bool) -> [u128; 3] {
        let wanted = self
            .delays
            .iter()
            .filter(|(node, _)| self.is_isolated[*node] == is_isolated);
        let mut delays: Vec<_> = wanted.map(|(_, delay)| delay.as_millis()).collect();
        delays.sort_unstable();
        let last = delays.len().saturating_sub(1);
        [50, 99, 100].map(|percent| delays.get(last * percent / 100).copied().unwrap_or(0))
    }

    fn costs(&self, made: Duration) -> String {
        let per_second = |count: usize| number(count) / made.as_secs_f64();
        let mean = |counts: &[usize]| per_second(counts.iter().sum()) / number(counts.len());
        let max = |counts: &[usize]| per_second(counts.iter().copied().max().unwrap_or(0));
        format!(
            "{:.2} | {:.2} | {:.0} | {:.0} | {:.0}",
            mean(&self.messages),
            max(&self.messages),
            mean(&self.bytes),
            max(&self.bytes),
            per_second(self.store.calls),
        )
    }
}

impl StoreState {
    /// Folds changes of a log that has grown too large into the base, as an operator's commit does.
    fn compact(&mut self) {
        if encoded_len(&self.log) <= MAX_LOG_BYTES {
            return;
        }
        let share = KEPT_LOG_BYTES * self.log.changes.len() / MAX_LOG_BYTES;
        let kept = self.log.changes.split_off(self.log.changes.len() - share);
        for change in std::mem::replace(&mut self.log.changes, kept) {
            self.base.state.apply(&change).expect("valid change");
        }
        self.log.base = self.base.state.number;
    }
}

fn encoded_len<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}
