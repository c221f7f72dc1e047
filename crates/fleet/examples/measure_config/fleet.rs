//! Simulation of fleets of followers: time until a change is applied, and message cost.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use amaranthgw_core::{StoreRevision, VmId};
use amaranthgw_fleet::config::{
    ConfigBase, ConfigFollower, ConfigLog, ConfigMessage, FollowerEffect, MAX_KEPT_BYTES,
    MAX_LOG_BYTES, RelayTopology, StoreCall, StoreReply,
};
use tokio::time::{Duration, Instant};

use crate::sizes::{configuration, workspace_change};
use crate::{SEED, to_f64, vm_list};

/// Nodes of each measured fleet.
const FLEET_SIZES: [usize; 3] = [100, 1_000, 11_700];
/// Simulated time before the first measured change.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Simulated time over which changes are made and messages are counted.
const MEASURED_TIME: Duration = Duration::from_mins(1);
/// Time between two changes, for a rate of 39,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_215);
/// Nodes that are isolated from their peers in the second row of each fleet.
const ISOLATED_NODES: usize = 5;
/// Simulated time after the last change, in which every node applies it.
const DRAIN_TIME: Duration = Duration::from_mins(2);
/// Changes in the log when the measurement begins.
const PREPARED_CHANGES: usize = 20;
/// Time between two ticks of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Range of the one-way latency of messages, store calls and replies, in microseconds.
const LATENCY_US: std::ops::Range<u64> = 500..5_000;

/// Simulated event of one node.
enum FleetEvent {
    /// The node's next tick.
    Tick,
    /// Arrival of a message from node `from`.
    Message { from: usize, message: ConfigMessage },
    /// Arrival of the node's call at the key-value service.
    Call(StoreCall),
    /// Arrival of the key-value service's reply.
    Reply(StoreReply),
    /// Timeout of the node's watch with this number, at the key-value service.
    WatchEnd(u64),
}

/// State of the key-value service: the base, the change log that follows it and open watches.
struct StoreState {
    base: ConfigBase,
    log: ConfigLog,
    revision: StoreRevision,
    /// Open watches by node, with the event number that identifies each.
    watches: HashMap<usize, u64>,
    calls: usize,
}

/// Simulated fleet with its event queue and measurements; nodes are positions in the VM list.
struct FleetModel {
    now: Instant,
    random: fastrand::Rng,
    store: StoreState,
    watchers: HashSet<usize>,
    names: Vec<VmId>,
    positions: HashMap<VmId, usize>,
    followers: Vec<ConfigFollower>,
    /// Times and numbers of pending events, the earliest first.
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Node and content of each pending event by its number.
    payloads: HashMap<u64, (usize, FleetEvent)>,
    next_event: u64,
    /// Time of each change, in order.
    made_at: Vec<Instant>,
    /// Number of changes that each node has applied.
    applied: Vec<usize>,
    is_isolated: Vec<bool>,
    /// Node and delay of each applied change.
    delays: Vec<(usize, Duration)>,
    /// Number of messages that each node sent to or received from its peers.
    messages: Vec<usize>,
    /// Bytes of these messages and of the change logs that the node received from the key-value
    /// service.
    bytes: Vec<usize>,
}

pub fn print_propagation() {
    for nodes in FLEET_SIZES {
        for isolated in [0, ISOLATED_NODES] {
            print_row(nodes, isolated);
        }
    }
}

fn print_row(nodes: usize, isolated: usize) {
    let mut fleet = FleetModel::new(nodes);
    for _ in 0..PREPARED_CHANGES {
        fleet.change();
    }
    fleet.run(WARM_UP_TIME);
    fleet.isolate(isolated);
    fleet.reset_measurements();
    let mut elapsed = Duration::ZERO;
    while elapsed < MEASURED_TIME {
        fleet.change();
        fleet.run(CHANGE_INTERVAL);
        elapsed += CHANGE_INTERVAL;
    }
    let costs = fleet.costs(elapsed);
    fleet.run(DRAIN_TIME);
    let changes = fleet.made_at.len() - PREPARED_CHANGES;
    assert_eq!(
        fleet.delays.len(),
        nodes * changes,
        "not every node applied every change"
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
        let (_, state) = configuration(10, 3);
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
            let plan = RelayTopology::new(&row.vm, &row.domain, &vms);
            if plan.is_watcher() {
                fleet.watchers.insert(node);
            }
            follower.set_relay(plan);
            fleet.followers.push(follower);
            let phase = TICK_INTERVAL.mul_f64(fleet.random.f64());
            fleet.push(phase, node, FleetEvent::Tick);
        }
        fleet
    }

    /// Resets delays and message counts after the warm-up.
    fn reset_measurements(&mut self) {
        self.store.calls = 0;
        self.delays.clear();
        self.messages.fill(0);
        self.bytes.fill(0);
    }

    /// Appends a change to the log and answers all open watches.
    fn change(&mut self) {
        let mut state = self.store.base.state.clone();
        for change in &self.store.log.changes {
            state.apply(change).expect("valid change");
        }
        let change = workspace_change(&state, self.made_at.len() % 10);
        self.store.log.changes.push(change);
        self.store.revision = self.store.revision.next();
        self.made_at.push(self.now);
        self.store.compact();
        let watches = std::mem::take(&mut self.store.watches);
        for (node, _) in watches {
            self.send_log(node);
        }
    }

    /// Advances the simulated clock by `duration` and handles the events until then.
    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, _))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, number))) = self.events.pop() else {
                break;
            };
            self.now = at;
            if let Some((node, event)) = self.payloads.remove(&number) {
                self.handle_event(node, event);
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, node: usize, event: FleetEvent) {
        let now = self.now;
        let effects = match event {
            FleetEvent::Tick => {
                self.push(TICK_INTERVAL, node, FleetEvent::Tick);
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
                    self.push_after_latency(node, FleetEvent::Reply(StoreReply::Unchanged));
                }
                return;
            }
        };
        for effect in effects {
            self.execute_effect(node, effect);
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
        self.push_after_latency(node, FleetEvent::Reply(reply));
    }

    fn send_log(&mut self, node: usize) {
        let log = self.store.log.clone();
        self.bytes[node] += encoded_len(&log);
        let revision = self.store.revision;
        self.push_after_latency(node, FleetEvent::Reply(StoreReply::Log { log, revision }));
    }

    fn execute_effect(&mut self, node: usize, effect: FollowerEffect) {
        match effect {
            FollowerEffect::Store(call) => self.push_after_latency(node, FleetEvent::Call(call)),
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
                self.push_after_latency(
                    to,
                    FleetEvent::Message {
                        from: node,
                        message,
                    },
                );
            }
            FollowerEffect::Applied(_) => {
                self.record_applied(node);
            }
            other => panic!("{other:?}"),
        }
    }

    fn push_after_latency(&mut self, node: usize, event: FleetEvent) {
        let latency = Duration::from_micros(self.random.u64(LATENCY_US));
        self.push(latency, node, event);
    }

    fn push(&mut self, after: Duration, node: usize, event: FleetEvent) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((self.now + after, number)));
        self.payloads.insert(number, (node, event));
    }

    /// Isolates `count` nodes that do not watch the key-value service from all peers.
    fn isolate(&mut self, count: usize) {
        let is_watcher = |node: &usize| self.watchers.contains(node);
        let others = (0..self.names.len()).rev().filter(|node| !is_watcher(node));
        for node in others.take(count) {
            self.is_isolated[node] = true;
        }
    }

    /// Records the delay of each change that `node` has just applied.
    fn record_applied(&mut self, node: usize) {
        // The base contains change 1, so `made_at[0]` belongs to change 2.
        let number = self.followers[node].number().get();
        let applied = usize::try_from(number).map_or(0, |number| number - 1);
        for change in self.applied[node]..applied {
            self.delays.push((node, self.now - self.made_at[change]));
        }
        self.applied[node] = applied;
    }

    /// Median, 99th percentile and maximum of the delays, in milliseconds.
    fn delays_ms(&self, is_isolated: bool) -> [u128; 3] {
        let selected = self
            .delays
            .iter()
            .filter(|(node, _)| self.is_isolated[*node] == is_isolated);
        let mut delays: Vec<_> = selected.map(|(_, delay)| delay.as_millis()).collect();
        delays.sort_unstable();
        let last = delays.len().saturating_sub(1);
        [50, 99, 100].map(|percent| delays.get(last * percent / 100).copied().unwrap_or(0))
    }

    fn costs(&self, elapsed: Duration) -> String {
        let per_second = |count: usize| to_f64(count) / elapsed.as_secs_f64();
        let mean = |counts: &[usize]| per_second(counts.iter().sum()) / to_f64(counts.len());
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
    /// Moves the oldest changes of a log that has grown too large into the base, as an operator's
    /// commit does.
    fn compact(&mut self) {
        if encoded_len(&self.log) <= MAX_LOG_BYTES {
            return;
        }
        let share = MAX_KEPT_BYTES * self.log.changes.len() / MAX_LOG_BYTES;
        let retained = self.log.changes.split_off(self.log.changes.len() - share);
        for change in std::mem::replace(&mut self.log.changes, retained) {
            self.base.state.apply(&change).expect("valid change");
        }
        self.log.base = self.base.state.number;
    }
}

fn encoded_len<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}
