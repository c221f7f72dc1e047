//! Agents of a stand-in rank group: rebalancing, coordinator takeover, store outages and unanswered
//! orders.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use amaranthgw::agent::AgentProcess;
use amaranthgw::runtime::StopPhase;
use amaranthgw::telemetry::EventLog;
use amaranthgw_fleet::settings::AgentSettings;
use amaranthgw_standins::site::{SiteGroup, SiteStore, StoreFault};
use amaranthgw_standins::{ReservedPort, RunningStandin, Standin};
use serde_json::json;

use crate::env::eventually;

/// Ranks of the group.
const RANK_COUNT: u16 = 3;
/// Expert sets of the group.
const SET_COUNT: usize = 2;
/// Experts in each set.
const EXPERT_COUNT: u16 = 12;

/// A group with one agent per rank, each on its own loopback address.
struct TestGroup {
    store: SiteStore,
    group: SiteGroup,
    agents: Vec<Option<AgentProcess>>,
    _running: Vec<RunningStandin>,
    _port: ReservedPort,
    _steps: tokio::task::JoinHandle<()>,
}

impl TestGroup {
    /// Starts the group on addresses `127.network.0.N`, so that parallel tests don't collide.
    fn start(network: u8) -> Self {
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
                    "sets": SET_COUNT, "experts": EXPERT_COUNT, "places": 6, "spare": 4,
                    "expert_mb": 1.0, "link_mbps": 1000.0,
                } }],
            }),
        );
        let group = SiteGroup::new(RANK_COUNT, SET_COUNT, EXPERT_COUNT);
        // All agents listen on the same port, each on its own address.
        let hosts: Vec<_> = (0..RANK_COUNT).map(|rank| address_of(rank).ip()).collect();
        let port = ReservedPort::new(&hosts).expect("free port");
        let mut agents = Vec::new();
        for rank in 0..RANK_COUNT {
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
            let settings = json!({
                "vm": format!("vm-{rank}"),
                "domain": "domain-a",
                "service": "llm",
                "rank": address,
                "node_listen": port.address(address.ip()),
                "metrics_listen": address_of(rank),
                "store": store_address,
                "grace": "2s",
                "fenced_orders": true,
            });
            let settings = AgentSettings::parse(&settings.to_string(), "test").expect("settings");
            let log = EventLog::with_journal_only();
            agents.push(Some(
                AgentProcess::start(&settings, &log).expect("agent starts"),
            ));
        }
        let stepping_group = group.clone();
        Self {
            store,
            group,
            agents,
            _running: running,
            _port: port,
            _steps: tokio::spawn(async move { stepping_group.run().await }),
        }
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
        let agent = self.agents[rank].take().expect("agent");
        agent.stop_signal().advance(StopPhase::Announcing);
        agent.join().expect("agent ends");
        name
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_orders_unanswered() {
    let group = TestGroup::start(73);
    group.group.set_unanswered_percent(30);
    group.trigger_switch(0).await;
    group.trigger_switch(7).await;
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
