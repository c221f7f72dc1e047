//! Simulation of followers under message loss, outages, stale reads and restarts.

use std::collections::{BTreeMap, BTreeSet};

use amaranthgw_core::{ChangeNumber, VmId};
use amaranthgw_fleet::config::{
    ConfigFollower, ConfigKey, ConfigMessage, FollowerEffect, RelayTopology, RelayVm, ServingState,
    StoreCall, StoreReply,
};
use proptest::prelude::*;
use tokio::time::{Duration, Instant};
use yare::parameterized;

use super::fixtures::{StoreModel, accept, id, set_plan, set_workspace, take_out};

const TICK: Duration = Duration::from_millis(50);
/// Time within which all nodes must have applied an accepted change once all faults have ended.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreMode {
    Up,
    Down,
    /// Returns the log as it was this many writes ago.
    Stale(usize),
}

#[derive(Clone, Debug)]
enum WorldEvent {
    Change,
    LargeChange,
    Store(StoreMode),
    /// Disconnects the node from its peers.
    CutPeers(usize),
    /// Disconnects the node from the key-value service.
    CutStore(usize),
    Restart(usize),
    /// Drops messages with this probability in percent.
    Loss(u32),
    EndFaults,
}

#[derive(Debug)]
enum Delivery {
    Message {
        from: usize,
        message: ConfigMessage,
    },
    Reply(StoreReply),
    /// A pending watch that ends at this time.
    Watch {
        call: StoreCall,
        until: Instant,
    },
}

#[derive(Debug)]
struct NodeModel {
    vm: RelayVm,
    follower: ConfigFollower,
    /// Number of the node's current run; messages to earlier ones are dropped.
    run: u32,
}

#[derive(Debug)]
struct World {
    now: Instant,
    random: fastrand::Rng,
    store: StoreModel,
    states: BTreeMap<ChangeNumber, ServingState>,
    mode: StoreMode,
    nodes: Vec<NodeModel>,
    positions: BTreeMap<VmId, usize>,
    queue: Vec<(Instant, usize, u32, Delivery)>,
    peer_cuts: BTreeSet<usize>,
    store_cuts: BTreeSet<usize>,
    loss_percent: u32,
    changes: u32,
}

impl World {
    fn new(domain_sizes: &[usize], seed: u64) -> Self {
        let now = Instant::now();
        let vm = |domain: usize, index: usize| RelayVm {
            vm: id(&format!("vm-{domain}-{index}")),
            domain: id(&format!("domain-{domain}")),
        };
        let vms: Vec<_> = (domain_sizes.iter().enumerate())
            .flat_map(|(domain, size)| (0..*size).map(move |index| vm(domain, index)))
            .collect();
        let positions = vms.iter().map(|row| row.vm.clone()).zip(0..).collect();
        let node = |vm: RelayVm| NodeModel {
            vm,
            follower: ConfigFollower::new(0, now),
            run: 0,
        };
        let mut world = Self {
            now,
            random: fastrand::Rng::with_seed(seed),
            store: StoreModel::default(),
            states: BTreeMap::from([(ChangeNumber::default(), ServingState::default())]),
            mode: StoreMode::Up,
            nodes: vms.into_iter().map(node).collect(),
            positions,
            queue: Vec::new(),
            peer_cuts: BTreeSet::new(),
            store_cuts: BTreeSet::new(),
            loss_percent: 0,
            changes: 0,
        };
        for position in 0..world.nodes.len() {
            world.restart(position);
        }
        world
    }

    fn restart(&mut self, position: usize) {
        let vms: Vec<_> = self.nodes.iter().map(|node| node.vm.clone()).collect();
        let node = &mut self.nodes[position];
        node.run += 1;
        node.follower = ConfigFollower::new(self.random.u64(..), self.now);
        let topology = RelayTopology::new(&node.vm.vm, &node.vm.domain, &vms);
        node.follower.set_relay(topology);
    }

    fn change(&mut self, is_large: bool) {
        self.changes += 1;
        let mut edits = vec![
            set_plan("p0", self.changes),
            take_out(&format!("domain-{}", self.changes)),
        ];
        if is_large {
            edits.extend((0..150).map(|index| set_workspace(&format!("workspace-{index}"), "p0")));
        }
        accept(&mut self.store, u128::from(self.changes), edits, self.now);
        let number = ChangeNumber::new(u64::from(self.changes));
        self.states.insert(number, self.store.state_at(number));
    }

    fn apply_event(&mut self, event: &WorldEvent) {
        let count = self.nodes.len();
        match event {
            WorldEvent::Change => self.change(false),
            WorldEvent::LargeChange => self.change(true),
            WorldEvent::Store(mode) => self.mode = *mode,
            WorldEvent::CutPeers(position) => drop(self.peer_cuts.replace(position % count)),
            WorldEvent::CutStore(position) => drop(self.store_cuts.replace(position % count)),
            WorldEvent::Restart(position) => self.restart(position % count),
            WorldEvent::Loss(percent) => self.loss_percent = *percent,
            WorldEvent::EndFaults => self.end_faults(),
        }
    }

    fn end_faults(&mut self) {
        self.mode = StoreMode::Up;
        self.peer_cuts.clear();
        self.store_cuts.clear();
        self.loss_percent = 0;
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            for position in 0..self.nodes.len() {
                let effects = self.nodes[position].follower.tick(self.now);
                self.perform(position, effects);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|row| row.0 <= now);
        self.queue = later;
        let due: Vec<(Instant, usize, u32, Delivery)> = due;
        for (_, position, run, delivery) in due {
            if run == self.nodes[position].run {
                self.deliver_one(position, delivery);
            }
        }
    }

    fn deliver_one(&mut self, position: usize, delivery: Delivery) {
        let before = self.nodes[position].follower.number();
        let effects = match delivery {
            Delivery::Message { from, message } => {
                let from = self.nodes[from].vm.vm.clone();
                self.nodes[position]
                    .follower
                    .on_message(&from, message, self.now)
            }
            Delivery::Reply(reply) => self.nodes[position].follower.on_reply(reply, self.now),
            Delivery::Watch { call, until } => return self.watch(position, call, until),
        };
        let node = &self.nodes[position].follower;
        assert!(node.number() >= before, "the number of the state decreased");
        assert_eq!(Some(node.state()), self.states.get(&node.number()));
        self.perform(position, effects);
    }

    fn perform(&mut self, position: usize, effects: Vec<FollowerEffect>) {
        for effect in effects {
            match effect {
                FollowerEffect::Store(call) => self.call(position, call),
                FollowerEffect::Send { peer, message } => self.send(position, &peer, &message),
                FollowerEffect::Applied(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    fn call(&mut self, position: usize, call: StoreCall) {
        if let StoreCall::WatchLog { wait, .. } = call {
            let until = self.now + wait.duration();
            return self.watch(position, call, until);
        }
        let reply = self.reply(position, &call);
        self.push(position, Delivery::Reply(reply));
    }

    fn watch(&mut self, position: usize, call: StoreCall, until: Instant) {
        let reply = self.reply(position, &call);
        if reply == StoreReply::Unchanged && self.now < until {
            self.push(position, Delivery::Watch { call, until });
        } else {
            self.push(position, Delivery::Reply(reply));
        }
    }

    fn reply(&mut self, position: usize, call: &StoreCall) -> StoreReply {
        if self.store_cuts.contains(&position) {
            return StoreReply::Failed;
        }
        match self.mode {
            StoreMode::Down => StoreReply::Failed,
            StoreMode::Stale(age) if call.key() == ConfigKey::Log => self.store.old_log(age),
            StoreMode::Up | StoreMode::Stale(_) => self.store.call(call),
        }
    }

    fn send(&mut self, from: usize, peer: &VmId, message: &ConfigMessage) {
        let to = self.positions[peer];
        let is_cut = self.peer_cuts.contains(&from) || self.peer_cuts.contains(&to);
        if is_cut || self.random.u32(..100) < self.loss_percent {
            return;
        }
        let copies = if self.random.u32(..10) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            let message = message.clone();
            self.push(to, Delivery::Message { from, message });
        }
    }

    /// Schedules the delivery after a random delay, so that messages are reordered; some are very
    /// late.
    fn push(&mut self, to: usize, delivery: Delivery) {
        let millis = if self.random.u32(..20) == 0 {
            1_500
        } else {
            120
        };
        let at = self.now + Duration::from_millis(self.random.u64(1..millis));
        self.queue.push((at, to, self.nodes[to].run, delivery));
    }

    fn behind(&self) -> Vec<(&VmId, ChangeNumber)> {
        let last = ChangeNumber::new(u64::from(self.changes));
        let numbers = self
            .nodes
            .iter()
            .map(|node| (&node.vm.vm, node.follower.number()));
        numbers.filter(|(_, number)| *number != last).collect()
    }
}

fn event_strategy() -> impl Strategy<Value = WorldEvent> {
    prop_oneof![
        6 => Just(WorldEvent::Change),
        1 => Just(WorldEvent::LargeChange),
        1 => Just(WorldEvent::Store(StoreMode::Down)),
        1 => Just(WorldEvent::Store(StoreMode::Up)),
        1 => (1..40_usize).prop_map(|age| WorldEvent::Store(StoreMode::Stale(age))),
        2 => (0..64_usize).prop_map(WorldEvent::CutPeers),
        2 => (0..64_usize).prop_map(WorldEvent::CutStore),
        2 => (0..64_usize).prop_map(WorldEvent::Restart),
        1 => (0..90_u32).prop_map(WorldEvent::Loss),
        1 => Just(WorldEvent::EndFaults),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Once all faults have ended, every node must apply the last accepted change within the time
    /// limit. No node's state may return to an earlier number or differ from the state that the log
    /// gives.
    #[test]
    fn follower_state_converges(
        sizes in prop::collection::vec(1..9_usize, 1..4),
        schedule in prop::collection::vec((event_strategy(), 0..3_000_u64), 1..40),
        has_last_change in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut world = World::new(&sizes, seed);
        for (event, pause) in schedule {
            world.apply_event(&event);
            world.run(Duration::from_millis(pause));
        }
        world.end_faults();
        if has_last_change {
            world.change(false);
        }
        world.run(CONVERGENCE_TIMEOUT);
        prop_assert_eq!(world.behind(), vec![]);
    }
}

/// Creates a world of three failure domains in which all nodes have applied the first change.
fn settled() -> World {
    let mut world = World::new(&[6, 6, 6], 7);
    world.change(false);
    world.run(CONVERGENCE_TIMEOUT);
    assert_eq!(world.behind(), []);
    world
}

#[test]
fn follower_fresh_node_in_outage() {
    let mut world = settled();
    world.apply_event(&WorldEvent::Store(StoreMode::Down));
    for position in [0, 7, 8, 17] {
        world.restart(position);
    }
    world.run(Duration::from_secs(2));
    assert_eq!(
        world.behind(),
        [],
        "restarted nodes get the state from their peers"
    );
}

#[test]
fn follower_long_outage_keeps_state() {
    let mut world = settled();
    world.apply_event(&WorldEvent::Store(StoreMode::Down));
    world.run(Duration::from_mins(10));
    assert_eq!(world.behind(), []);
    world.end_faults();
    world.change(true);
    world.run(CONVERGENCE_TIMEOUT);
    assert_eq!(world.behind(), []);
}

/// Returns the watchers of the second failure domain.
fn watchers(world: &World) -> Vec<usize> {
    let vms: Vec<_> = world.nodes.iter().map(|node| node.vm.clone()).collect();
    let is_watcher = |position: &usize| {
        let RelayVm { vm, domain } = &vms[*position];
        RelayTopology::new(vm, domain, &vms).is_watcher()
    };
    (6..12).filter(is_watcher).collect()
}

#[parameterized(
    follower_cut_domain = { |_| (Vec::new(), (6..12).collect()) },
    follower_cut_watchers = { |world| (watchers(world), watchers(world)) },
    follower_cut_from_peers = { |_| (vec![3, 9, 15], Vec::new()) },
)]
fn follower_cut(cuts: fn(&World) -> (Vec<usize>, Vec<usize>)) {
    let mut world = settled();
    let (peer_cuts, store_cuts) = cuts(&world);
    world.peer_cuts.extend(&peer_cuts);
    world.store_cuts.extend(&store_cuts);
    world.change(false);
    world.run(CONVERGENCE_TIMEOUT);
    let is_reachable =
        |position: &usize| !peer_cuts.contains(position) || !store_cuts.contains(position);
    let reachable = (0..world.nodes.len()).filter(is_reachable).count();
    assert_eq!(
        world.behind().len(),
        world.nodes.len() - reachable,
        "{:?}",
        world.behind()
    );
}

/// All pushes of a change are lost, and then the key-value service fails. Only the periodic offers
/// can still bring the change to the other nodes.
#[test]
fn follower_missed_push_in_outage() {
    let mut world = settled();
    for position in 0..18 {
        world.apply_event(&WorldEvent::CutStore(position));
    }
    world.store_cuts.remove(&3);
    world.apply_event(&WorldEvent::Loss(100));
    world.change(false);
    world.run(CONVERGENCE_TIMEOUT);
    assert_eq!(world.behind().len(), 17, "only one node has the change");
    world.apply_event(&WorldEvent::Loss(0));
    world.apply_event(&WorldEvent::Store(StoreMode::Down));
    world.run(CONVERGENCE_TIMEOUT);
    assert_eq!(world.behind(), [], "the offers bring the change");
}

/// A node that isn't in the VM list yet gets no pushes or offers. It must pull a change once other
/// traffic carries the change's number.
#[test]
fn follower_number_on_traffic_starts_pull() {
    let mut world = settled();
    world.apply_event(&WorldEvent::CutStore(5));
    // The VM list of the other nodes doesn't contain the node yet.
    let vms: Vec<_> = world.nodes.iter().map(|node| node.vm.clone()).collect();
    let listed: Vec<_> = vms.iter().filter(|row| **row != vms[5]).cloned().collect();
    for node in &mut world.nodes {
        let topology = RelayTopology::new(&node.vm.vm, &node.vm.domain, &listed);
        node.follower.set_relay(topology);
    }
    world.nodes[5].follower.set_relay(RelayTopology::default());
    world.change(false);
    world.run(Duration::from_secs(3));
    assert_eq!(world.behind().len(), 1, "no peer sends to the node");
    let announcer = world.nodes[12].vm.vm.clone();
    let now = world.now;
    world.nodes[5]
        .follower
        .on_number(&announcer, ChangeNumber::new(2), now);
    world.run(Duration::from_secs(3));
    assert_eq!(world.behind(), []);
}
