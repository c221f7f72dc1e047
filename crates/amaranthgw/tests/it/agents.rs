//! Agents of a stand-in rank group: rebalancing, coordinator takeover, store outages and unanswered
//! orders.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use amaranthgw::agent::AgentProcess;
use amaranthgw::runtime::StopPhase;
use amaranthgw::telemetry::EventLog;
use amaranthgw_fleet::gateway::{GroupStatus, RankLoadReport};
use amaranthgw_fleet::settings::AgentSettings;
use amaranthgw_net::{DialSettings, PooledClient};
use amaranthgw_standins::site::{SiteGroup, SiteStore, StoreFault};
use amaranthgw_standins::{ReservedPort, RunningStandin, Standin};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::env::{TestProcess, eventually};

/// Ranks of a small group, whose agents are all called by the coordinator.
const RANK_COUNT: u16 = 3;
/// Ranks of a group in which agents pass calls on to others.
const LARGE_RANK_COUNT: u16 = 20;
/// Time after which another agent has let the group of a frozen coordinator go: a second, and as much again for the
/// calls to the frozen process, which is not silent on the network as a frozen VM is.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);
/// Expert sets of the group.
const SET_COUNT: usize = 2;
/// Experts in each set.
const EXPERT_COUNT: u16 = 12;

/// A group with one agent per rank, each on its own loopback address.
struct TestGroup {
    store: SiteStore,
    group: SiteGroup,
    agents: Vec<Option<AgentProcess>>,
    settings: Vec<AgentSettings>,
    logs: Vec<EventLog>,
    _running: Vec<RunningStandin>,
    port: ReservedPort,
    _steps: tokio::task::JoinHandle<()>,
}

/// Settings of the agent of a rank at `address`, which listens for other agents at `listen`.
fn settings_of(
    rank: u16,
    address: SocketAddr,
    listen: SocketAddr,
    store: SocketAddr,
) -> AgentSettings {
    let vm = format!("vm-{rank}");
    let settings = settings_text(&vm, address, listen, store);
    AgentSettings::parse(&settings.to_string(), "test").expect("settings")
}

fn settings_text(vm: &str, address: SocketAddr, listen: SocketAddr, store: SocketAddr) -> Value {
    json!({
        "vm": vm,
        "domain": "domain-a",
        "service": "llm",
        "rank": address,
        "node_listen": listen,
        "metrics_listen": SocketAddr::new(address.ip(), 0),
        "store": store,
        "grace": "2s",
        "fenced_orders": true,
    })
}

fn settings_json(settings: &AgentSettings) -> Value {
    let AgentSettings {
        vm,
        rank,
        node_listen,
        store,
        ..
    } = settings;
    settings_text(vm.as_str(), *rank, *node_listen, *store)
}

impl TestGroup {
    /// Starts the group on addresses `127.network.0.N`, so that parallel tests don't collide.
    fn start(network: u8) -> Self {
        Self::start_with(network, RANK_COUNT)
    }

    fn start_with(network: u8, rank_count: u16) -> Self {
        let store = SiteStore::new();
        let address_of = |rank: u16| {
            let last = u8::try_from(rank + 1).expect("rank");
            SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, 0, last)), 0)
        };
        let started = store.start(address_of(0)).expect("store starts");
        let store_address = started.address();
        let mut running = vec![started];
        store.put(
            "op/config",
            &json!({
                "version": 1,
                "services": [{ "name": "llm", "engine": {
                    "sets": SET_COUNT, "experts": EXPERT_COUNT * rank_count.div_ceil(RANK_COUNT), "places": 6, "spare": 4,
                    "expert_mb": 1.0, "link_mbps": 1000.0, "report_lag_ms": 200.0,
                } }],
            }),
        );
        let group = SiteGroup::new(
            rank_count,
            SET_COUNT,
            EXPERT_COUNT * rank_count.div_ceil(RANK_COUNT),
        );
        // All agents listen on the same port, each on its own address.
        let hosts: Vec<_> = (0..rank_count).map(|rank| address_of(rank).ip()).collect();
        let port = ReservedPort::new(&hosts).expect("free port");
        let (mut agents, mut all_settings, mut logs) = (Vec::new(), Vec::new(), Vec::new());
        for rank in 0..rank_count {
            let started = group
                .rank(rank.into())
                .start(address_of(rank))
                .expect("rank starts");
            let address = started.address();
            running.push(started);
            let entry = json!({
                "service": "llm", "address": address, "zone": "domain-a", "slots": 12,
                "state": "ready", "cold_left_ms": 0,
            });
            store.put(&format!("servers/i-{rank}"), &entry);
            let settings = settings_of(rank, address, port.address(address.ip()), store_address);
            let log = EventLog::with_journal_only();
            agents.push(Some(
                AgentProcess::start(&settings, &log).expect("agent starts"),
            ));
            all_settings.push(settings);
            logs.push(log);
        }
        let stepping_group = group.clone();
        Self {
            store,
            group,
            agents,
            settings: all_settings,
            logs,
            _running: running,
            port,
            _steps: tokio::spawn(async move { stepping_group.run().await }),
        }
    }

    /// Puts a process in place of the agent of `rank`, with a lease so long that it doesn't end by itself, and waits
    /// until it coordinates the group.
    async fn coordinate_by_process(&mut self, rank: usize) -> TestProcess {
        let ranks = 0..self.agents.len();
        for other in ranks.clone() {
            tokio::task::block_in_place(|| self.stop_agent(other));
        }
        let mut settings = settings_json(&self.settings[rank]);
        settings["lease"] = "30s".into();
        let name = format!("amaranthgw-agent-{}-{rank}.json", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, settings.to_string()).expect("settings file");
        let path = file.to_str().expect("path");
        let process = TestProcess::start(&["agent", "--settings", path], &[]);
        let coordinates = || async { (self.coordinator() == Some(rank)).then_some(()) };
        eventually("the lease of the process", coordinates).await;
        std::fs::remove_file(file).expect("settings file");
        for other in ranks.filter(|other| *other != rank) {
            let agent = AgentProcess::start(&self.settings[other], &self.logs[other]);
            self.agents[other] = Some(agent.expect("agent starts"));
        }
        process
    }

    /// Makes `expert` popular and waits for a map switch.
    async fn trigger_switch(&self, expert: u16) {
        let before = self.group.switches();
        self.group.set_popular_expert(expert);
        let switched = || async { (self.group.switches() > before).then_some(()) };
        eventually("a map switch", switched).await;
    }

    /// Stops the agent that holds the lease and returns its name.
    fn stop_coordinator(&mut self) -> String {
        let holder = self
            .store
            .value("amaranthgw/groups/g-1/coordinator")
            .expect("lease");
        let name = String::from_utf8(holder).expect("text");
        let rank: usize = name.trim_start_matches("vm-").parse().expect("rank");
        self.stop_agent(rank);
        name
    }

    /// Number of the rank whose agent holds the lease.
    fn coordinator(&self) -> Option<usize> {
        let holder = self.store.value("amaranthgw/groups/g-1/coordinator")?;
        let name = String::from_utf8(holder).ok()?;
        name.trim_start_matches("vm-").parse().ok()
    }

    fn stop_agent(&mut self, rank: usize) {
        let agent = self.agents[rank].take().expect("agent");
        agent.stop_signal().advance(StopPhase::Announcing);
        agent.join().expect("agent ends");
    }

    fn restart_agent(&mut self, rank: usize) {
        self.stop_agent(rank);
        let started = AgentProcess::start(&self.settings[rank], &self.logs[rank]);
        self.agents[rank] = Some(started.expect("agent starts"));
    }

    /// Number of events with a field `value` that the agent of `rank` logged.
    fn event_count(&self, rank: usize, value: &str) -> usize {
        self.logs[rank].explain(value).len()
    }

    /// Checks that no step ran under two maps and that steps go on.
    async fn check_steps(&self) {
        assert_eq!(self.group.mixed_step(), None);
        let before = self.group.steps();
        let advanced = || async { (self.group.steps() > before + 20).then_some(()) };
        eventually("further steps", advanced).await;
        assert_eq!(self.group.mixed_step(), None);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_rebalances_group() {
    let group = TestGroup::start(71);
    group.trigger_switch(0).await;
    group.trigger_switch(7).await;
    group.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_store_unavailable() {
    let group = TestGroup::start(72);
    group.trigger_switch(0).await;
    group.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    group.trigger_switch(7).await;
    group.check_steps().await;
}

// Guards against MAP: revisions that went back gave a later coordinator a lower token than its predecessor's.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_store_returned_from_copy() {
    let group = TestGroup::start(80);
    let copy = group.store.copy();
    // The token of the first coordinator is far above what the copy gives out again.
    for number in 0..300 {
        group.store.put("other/key", &json!(number));
    }
    group.trigger_switch(0).await;
    let before: Vec<_> = (0..3).map(|rank| group.event_count(rank, "g-1")).collect();
    group.store.return_from(copy);
    let is_lost = || async {
        let lost = (0..3).any(|rank| group.event_count(rank, "store_returned") > 0);
        lost.then_some(())
    };
    eventually("the end of the lease", is_lost).await;
    group.trigger_switch(7).await;
    let after: Vec<_> = (0..3).map(|rank| group.event_count(rank, "g-1")).collect();
    assert!(before < after, "{before:?}, {after:?}");
    group.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_orders_unanswered() {
    let group = TestGroup::start(73);
    group.group.set_unanswered_percent(30);
    group.trigger_switch(0).await;
    group.trigger_switch(7).await;
    group.check_steps().await;
}

// Guards against MAP: an answer that was written once more counted as consent to an order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_answers_repeated() {
    let group = TestGroup::start(79);
    group.group.set_repeated_percent(20);
    for expert in [0, 7, 3, 9] {
        group.trigger_switch(expert).await;
    }
    group.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acquire_after_coordinator_stops() {
    let mut group = TestGroup::start(74);
    group.trigger_switch(0).await;
    let former = tokio::task::block_in_place(|| group.stop_coordinator());
    let acquired = || async {
        let holder = group.store.value("amaranthgw/groups/g-1/coordinator");
        let holder = holder.and_then(|name| String::from_utf8(name).ok());
        holder.filter(|name| *name != former)
    };
    eventually("another coordinator", acquired).await;
    // The rank of the stopped agent is reached directly, and steps go on.
    group.trigger_switch(7).await;
    group.check_steps().await;
}

// Guards against MAP: a coordinator took the old report of a rank without an agent for its state after the
// fencing, and let the group go while that rank alone was armed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_late_arm_beside_stopped_agent() {
    let mut group = TestGroup::start(81);
    group.trigger_switch(0).await;
    let coordinator = group.coordinator().expect("coordinator");
    group.group.stall_orders(coordinator);
    group.group.set_popular_expert(7);
    let standin = group.group.clone();
    let gave_up = || async {
        let is_disarmed = standin.armed_ranks() == 0;
        (standin.has_stalled_arm(coordinator) && is_disarmed).then_some(())
    };
    eventually("the end of the switch", gave_up).await;
    tokio::task::block_in_place(|| group.stop_agent(coordinator));
    group.group.set_lagging(coordinator);
    group.group.end_stall(coordinator);
    group.check_steps().await;
    group.trigger_switch(3).await;
    group.check_steps().await;
}

// Guards against a group that stands still until the lease of a frozen coordinator ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_frozen_coordinator_of_held_group() {
    let mut group = TestGroup::start(82);
    let frozen = group.coordinate_by_process(0).await;
    group.trigger_switch(0).await;
    // Holds the group for as long as the coordinator tries to arm its own rank.
    group.group.stall_orders(0);
    group.group.set_popular_expert(7);
    let standin = group.group.clone();
    let is_armed = || async { standin.has_stalled_arm(0).then_some(()) };
    eventually("a held group", is_armed).await;
    frozen.signal("STOP");
    let frozen_at = Instant::now();
    group.group.end_stall(0);
    let steps = group.group.steps() + 2;
    let goes_on = || async { (standin.steps() > steps).then_some(()) };
    eventually("further steps", goes_on).await;
    assert!(
        frozen_at.elapsed() < TAKEOVER_TIME,
        "{:?}",
        frozen_at.elapsed()
    );
    let taken = (0..3).map(|rank| group.event_count(rank, "vm-0"));
    assert!(taken.sum::<usize>() > 0);
    group.check_steps().await;
    frozen.signal("CONT");
    group.trigger_switch(3).await;
    group.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_rebalances_large_group() {
    let group = TestGroup::start_with(75, LARGE_RANK_COUNT);
    group.trigger_switch(0).await;
    group.trigger_switch(7).await;
    group.check_steps().await;
    for rank in 0..usize::from(LARGE_RANK_COUNT) {
        // The second change has the first map as its base.
        assert_eq!(group.event_count(rank, "base_unknown"), 0, "rank {rank}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_silent_agents_of_large_group() {
    let mut group = TestGroup::start_with(76, LARGE_RANK_COUNT);
    group.trigger_switch(0).await;
    let coordinator = group.coordinator().expect("coordinator");
    // First agents of branches as well as others.
    for rank in [0, 1, 3, 4, 8, 13]
        .into_iter()
        .filter(|rank| *rank != coordinator)
    {
        tokio::task::block_in_place(|| group.stop_agent(rank));
    }
    group.trigger_switch(7).await;
    group.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_restarted_agents_of_large_group() {
    let mut group = TestGroup::start_with(77, LARGE_RANK_COUNT);
    group.trigger_switch(0).await;
    let coordinator = group.coordinator().expect("coordinator");
    let restarted = if coordinator == 5 { 6 } else { 5 };
    tokio::task::block_in_place(|| group.restart_agent(restarted));
    group.trigger_switch(7).await;
    group.check_steps().await;
    // It doesn't know the map in use, and got the next one whole.
    assert!(group.event_count(restarted, "base_unknown") > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_malformed_requests() {
    let group = TestGroup::start_with(78, LARGE_RANK_COUNT);
    group.trigger_switch(0).await;
    let agent = group.port.address(group.settings[2].rank.ip());
    let client = PooledClient::new(agent, DialSettings::new(Duration::from_secs(2)));
    for length in 0..200_usize {
        let bytes: Vec<u8> = (0..length).map(|_| fastrand::u8(..)).collect();
        let path = "/relay";
        let reply = client.call(Method::POST, path, bytes.into(), Duration::from_secs(5));
        let status = reply.await.expect("reply").status;
        assert!(
            status == StatusCode::BAD_REQUEST || status == StatusCode::OK,
            "{status}"
        );
    }
    assert!(group.event_count(2, "Hit the end of buffer, expected more data") > 0);
    group.trigger_switch(7).await;
    group.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn group_status_tells_loads_of_all_ranks() {
    let group = TestGroup::start_with(79, LARGE_RANK_COUNT);
    group.trigger_switch(0).await;
    let agent = group.port.address(group.settings[9].rank.ip());
    let client = PooledClient::new(agent, DialSettings::new(Duration::from_secs(2)));
    let all_fresh = || async {
        let call = client.call(Method::GET, "/group", Bytes::new(), Duration::from_secs(5));
        let status: GroupStatus = serde_json::from_slice(&call.await.ok()?.body).ok()?;
        let fresh = |it: &&RankLoadReport| it.age.duration() < Duration::from_secs(1);
        let fresh = status.loads.iter().filter(fresh).count();
        (fresh == usize::from(LARGE_RANK_COUNT)).then_some(())
    };
    eventually("loads of all ranks", all_fresh).await;
}
