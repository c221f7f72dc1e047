//! Agents beside the ranks of a stand-in group: levelling, takeover, outages and late answers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use amaranthgw::agent::AgentProcess;
use amaranthgw::runtime::StopPhase;
use amaranthgw::telemetry::EventLog;
use amaranthgw_fleet::settings::AgentSettings;
use amaranthgw_standins::site::{SiteGroup, SiteStore, StoreFault};
use amaranthgw_standins::{RunningStandin, Standin};
use serde_json::json;

use crate::env::eventually;

const RANKS: u16 = 3;
const SETS: usize = 2;
const EXPERTS: u16 = 12;

/// A group with an agent beside each rank, each on an address of its own.
struct TestGroup {
    store: SiteStore,
    group: SiteGroup,
    agents: Vec<Option<AgentProcess>>,
    _running: Vec<RunningStandin>,
    _steps: tokio::task::JoinHandle<()>,
}

impl TestGroup {
    /// Starts the group with addresses `127.network.0.N`, so that tests do not meet.
    fn start(network: u8) -> Self {
        let store = SiteStore::new();
        let any = |rank: u16| {
            let last = u8::try_from(rank + 1).expect("rank");
            SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, 0, last)), 0)
        };
        let started = store.start(any(0)).expect("store starts");
        let store_address = started.address();
        let mut running = vec![started];
        store.put(
            "op/config",
            &json!({
                "version": 1,
                "services": [{ "name": "llm", "engine": {
                    "sets": SETS, "experts": EXPERTS, "places": 6, "spare": 4,
                    "expert_mb": 1.0, "link_mbps": 1000.0,
                } }],
            }),
        );
        let group = SiteGroup::new(RANKS, SETS, EXPERTS);
        // Every agent listens on the same port of its own address.
        let probe = std::net::TcpListener::bind(any(0)).expect("free port");
        let port = probe.local_addr().expect("address").port();
        drop(probe);
        let mut agents = Vec::new();
        for rank in 0..RANKS {
            let started = group
                .rank(rank.into())
                .start(any(rank))
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
                "node_listen": SocketAddr::new(address.ip(), port),
                "metrics_listen": any(rank),
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
        let steps = group.clone();
        Self {
            store,
            group,
            agents,
            _running: running,
            _steps: tokio::spawn(async move { steps.run().await }),
        }
    }

    /// Waits until the map has changed after `expert` became wanted.
    async fn switches_for(&self, expert: u16) {
        let before = self.group.switches();
        self.group.set_popular_expert(expert);
        let switched = || async { (self.group.switches() > before).then_some(()) };
        eventually("a change of the map", switched).await;
    }

    /// Stops the agent that holds the lease and gives its name.
    fn stop_leader(&mut self) -> String {
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

    /// Checks what must hold in every run.
    async fn check(&self) {
        assert_eq!(self.group.mixed_step(), None);
        let before = self.group.steps();
        let goes_on = || async { (self.group.steps() > before + 20).then_some(()) };
        eventually("further steps", goes_on).await;
        assert_eq!(self.group.mixed_step(), None);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lead_levels_group() {
    let group = TestGroup::start(71);
    group.switches_for(0).await;
    group.switches_for(7).await;
    group.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lead_store_away() {
    let group = TestGroup::start(72);
    group.switches_for(0).await;
    group.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    group.switches_for(7).await;
    group.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lead_orders_unanswered() {
    let group = TestGroup::start(73);
    group.group.set_unanswered_percent(30);
    group.switches_for(0).await;
    group.switches_for(7).await;
    group.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn win_after_leader_stops() {
    let mut group = TestGroup::start(74);
    group.switches_for(0).await;
    let former = tokio::task::block_in_place(|| group.stop_leader());
    let led = || async {
        let holder = group.store.value("amaranthgw/groups/g-1/coordinator");
        let holder = holder.and_then(|name| String::from_utf8(name).ok());
        holder.filter(|name| *name != former)
    };
    eventually("another leader", led).await;
    // The rank of the agent that stopped is still reached straight, and the steps go on.
    group.switches_for(7).await;
    group.check().await;
}
