//! Stand-ins of the platform and the targets, with the gateway and agent processes under test.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;

use amaranthgw_net::{DialSettings, PooledClient};
use amaranthgw_standins::site::{SiteGroup, SiteStore, SiteTarget, TargetBehaviour, site_config};
use amaranthgw_standins::{ProxySettings, ProxyStandin, ReservedPort, RunningStandin, Standin};
use http::Method;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::options::SoakOptions;
use super::processes::SoakProcess;
use super::repeats::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};

/// Callers' keys: the first is always valid, the second is removed and added again by operators.
pub(super) const KEYS: [&str; 2] = ["key-of-school", "key-of-club"];
/// Services that the plain routes may go to.
pub(super) const PLAIN_SERVICES: [&str; 2] = ["desk", "annexe"];
/// Workspace that holds both keys.
pub(super) const WORKSPACE: &str = "school";
/// Part of prompts on which model servers crash at times.
pub(super) const DEADLY_PART: &str = "bad";
/// Targets of each plain or streaming service.
const TARGETS_PER_SERVICE: usize = 3;
/// Number of the target of each plain service that stays cold for the whole run.
const COLD_TARGET: usize = 2;
/// Requests per second that a cold target can handle.
pub(super) const COLD_RATE: usize = 10;
/// Time of the slow start of a cold target, longer than a run.
const COLD_MS: u64 = 600_000;
/// Time within which all gateways must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// One version of the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfigRow {
    /// Time of the store's acknowledgement.
    pub(super) acknowledged_at: Instant,
    /// Version number; versions begin at 7 and skip two numbers each time.
    pub(super) version: u64,
    /// Index in `PLAIN_SERVICES` of the service that the plain routes go to.
    pub(super) service_index: usize,
    /// Whether the second key is valid.
    pub(super) has_second_key: bool,
}

/// A target with its service and registry entry.
#[derive(Debug)]
pub(super) struct SoakTarget {
    /// The stand-in.
    pub(super) target: SiteTarget,
    /// Service that it belongs to.
    pub(super) service: &'static str,
    /// Registry entry as of the start.
    pub(super) entry: Value,
    /// Store key of the entry.
    pub(super) key: String,
    /// Whether it is cold for the whole run.
    pub(super) is_cold: bool,
    /// Time at which it was registered as draining.
    pub(super) draining_at: Mutex<Option<Instant>>,
    /// Time from which its answers said that it is leaving.
    pub(super) leaving_at: Mutex<Option<Instant>>,
}

/// A proxy in front of one target, or between one process and the store.
#[derive(Debug)]
pub(super) struct SoakProxy {
    control: PooledClient,
}

impl SoakProxy {
    /// Sets the fault mode and the delay of the proxy.
    pub(super) async fn set(&self, mode: &str, delay_ms: u64) {
        let faults = json!({ "mode": mode, "delay_ms": delay_ms }).to_string();
        let limit = Duration::from_secs(2);
        let set = self
            .control
            .call(Method::POST, "/admin/faults", faults.into(), limit);
        set.await.expect("the proxy answers");
    }
}

/// All stand-ins and processes of one run.
#[derive(Debug)]
pub(super) struct SoakSite {
    pub(super) store: SiteStore,
    pub(super) group: SiteGroup,
    pub(super) targets: Vec<SoakTarget>,
    pub(super) proxies: Vec<SoakProxy>,
    pub(super) gateways: Vec<(SocketAddr, SoakProcess)>,
    pub(super) agents: Vec<SoakProcess>,
    pub(super) configs: Mutex<Vec<ConfigRow>>,
    /// Addresses that serve `/readyz`, one per gateway.
    ready_addresses: Vec<SocketAddr>,
    running: Vec<RunningStandin>,
    /// Ports of processes, reserved while they are restarted.
    reserved: Vec<ReservedPort>,
    steps: tokio::task::JoinHandle<()>,
    folder: PathBuf,
    pub(super) options: SoakOptions,
}

impl SoakSite {
    /// Starts all stand-ins and processes and waits until the gateways are ready.
    pub(super) async fn start(seed: u64, options: &SoakOptions) -> Self {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let group = SiteGroup::new(options.ranks, 2, 12);
        let steps = group.clone();
        let mut site = Self {
            store: SiteStore::new(),
            group,
            targets: Vec::new(),
            proxies: Vec::new(),
            gateways: Vec::new(),
            agents: Vec::new(),
            configs: Mutex::new(Vec::new()),
            ready_addresses: Vec::new(),
            running: Vec::new(),
            reserved: Vec::new(),
            steps: tokio::spawn(async move { steps.run().await }),
            folder,
            options: options.clone(),
        };
        let store = site
            .store
            .start(any_port(loopback(1)))
            .expect("store starts");
        let store_address = store.address();
        site.running.push(store);
        site.put_config(0, true);
        for service in [PLAIN_SERVICES[0], PLAIN_SERVICES[1], "draft"] {
            for number in 0..TARGETS_PER_SERVICE {
                site.add_target(service, number);
            }
        }
        site.start_agents(store_address, options.ranks);
        site.start_gateways(store_address, options.gateways);
        site.wait_until_ready().await;
        site
    }

    /// Writes the next version of the configuration to the store.
    pub(super) fn put_config(&self, service_index: usize, has_second_key: bool) {
        let mut configs = self.configs.lock().expect("configurations");
        let version = configs.last().map_or(7, |row| row.version + 3);
        let keys = if has_second_key {
            &KEYS[..]
        } else {
            &KEYS[..1]
        };
        self.store.put(
            "op/config",
            &config(version, PLAIN_SERVICES[service_index], keys),
        );
        configs.push(ConfigRow {
            acknowledged_at: Instant::now(),
            version,
            service_index,
            has_second_key,
        });
    }

    /// Whether a target of `service` is draining or says that it is leaving.
    pub(super) fn has_leaving(&self, service: &str) -> bool {
        let mut targets = self.targets.iter().filter(|it| it.service == service);
        targets.any(|it| {
            let is_draining = it.draining_at.lock().expect("a time").is_some();
            is_draining || it.leaving_at.lock().expect("a time").is_some()
        })
    }

    /// Behaviour of a target without a fault.
    pub(super) fn healthy_behaviour(service: &str) -> TargetBehaviour {
        if service == "draft" {
            return TargetBehaviour::Stream {
                events: 20,
                gap: Duration::from_millis(4),
                breaks_in: 0,
            };
        }
        TargetBehaviour::Answer(200)
    }

    fn add_target(&mut self, service: &'static str, number: usize) {
        let id = format!("i-{service}-{number}");
        let target = SiteTarget::new(&id, Self::healthy_behaviour(service));
        let started = target.start(any_port(loopback(1))).expect("target starts");
        let address = self.add_proxy(started.address(), loopback(1));
        let mut entry = target.entry(service, address, "domain-a");
        let is_cold = number == COLD_TARGET && PLAIN_SERVICES.contains(&service);
        if is_cold {
            entry["cold_left_ms"] = COLD_MS.into();
        }
        let key = format!("servers/{id}");
        self.store.put(&key, &entry);
        self.running.push(started);
        self.targets.push(SoakTarget {
            target,
            service,
            entry,
            key,
            is_cold,
            draining_at: Mutex::new(None),
            leaving_at: Mutex::new(None),
        });
    }

    /// Starts a proxy in front of `upstream` and returns its address.
    fn add_proxy(&mut self, upstream: SocketAddr, ip: IpAddr) -> SocketAddr {
        let proxy = ProxyStandin::new(ProxySettings::new().with_upstream(Some(upstream)));
        let running = proxy.start(any_port(ip)).expect("proxy starts");
        let control = running.control_address().expect("a control port");
        let address = running.address();
        self.running.push(running);
        self.proxies.push(SoakProxy {
            control: PooledClient::new(control, DialSettings::new(Duration::from_secs(2))),
        });
        address
    }

    /// Reserves a port that is free on all `hosts`.
    fn reserve(&mut self, hosts: &[IpAddr]) -> u16 {
        let reserved = ReservedPort::new(hosts).expect("a free port");
        let port = reserved.port();
        self.reserved.push(reserved);
        port
    }

    fn reserve_address(&mut self) -> SocketAddr {
        let host = loopback(1);
        SocketAddr::new(host, self.reserve(&[host]))
    }

    fn start_agents(&mut self, store: SocketAddr, ranks: u16) {
        let hosts: Vec<_> = (0..ranks).map(rank_host).collect();
        let nodes = self.reserve(&hosts);
        for (rank, ip) in hosts.into_iter().enumerate() {
            let rank = u16::try_from(rank).expect("a rank");
            let started = self.group.rank(rank.into()).start(any_port(ip));
            let started = started.expect("rank starts");
            let (address, name) = (started.address(), format!("agent-{rank}"));
            self.running.push(started);
            let entry = json!({
                "service": "llm", "address": address, "zone": "domain-a", "slots": 12,
                "state": "ready", "cold_left_ms": 0,
            });
            self.store.put(&format!("servers/i-rank-{rank}"), &entry);
            let store = self.add_proxy(store, loopback(1));
            let settings = json!({
                "vm": name, "domain": "domain-a", "service": "llm", "rank": address,
                "node_listen": SocketAddr::new(ip, nodes), "metrics_listen": any_port(ip),
                "store": store, "grace": "2s", "fenced_orders": true,
            });
            let agent = SoakProcess::start("agent", &self.folder, &settings, &self.options);
            self.agents.push(agent);
        }
    }

    fn start_gateways(&mut self, store: SocketAddr, gateways: usize) {
        let nodes: Vec<_> = (0..gateways).map(|_| self.reserve_address()).collect();
        for (number, node) in nodes.iter().enumerate() {
            let (callers, ready) = (self.reserve_address(), self.reserve_address());
            let name = format!("gateway-{number}");
            let store = self.add_proxy(store, loopback(1));
            let settings = json!({
                "vm": name, "domain": "domain-a", "caller_listen": callers,
                "ready_listen": ready, "node_listen": node,
                "metrics_listen": any_port(loopback(1)), "store": store,
                "seeds": nodes.iter().take(3).collect::<Vec<_>>(), "grace": "8s",
                "retry_ratio": RETRY_RATIO, "retry_slack": RETRY_SLACK,
                "retry_window": format!("{}s", RETRY_WINDOW.as_secs()),
            });
            let gateway = SoakProcess::start("gateway", &self.folder, &settings, &self.options);
            self.gateways.push((callers, gateway));
            self.ready_addresses.push(ready);
        }
    }

    async fn wait_until_ready(&self) {
        let began_at = Instant::now();
        while !self.are_ready().await {
            assert!(
                began_at.elapsed() < START_TIMEOUT,
                "the gateways are not ready in time"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether all gateways report that they are ready.
    pub(super) async fn are_ready(&self) -> bool {
        for address in &self.ready_addresses {
            let limit = Duration::from_millis(500);
            let client = PooledClient::new(*address, DialSettings::new(limit));
            let call = client.call(Method::GET, "/readyz", bytes::Bytes::new(), limit);
            if !call.await.is_ok_and(|reply| reply.status.is_success()) {
                return false;
            }
        }
        true
    }
}

impl Drop for SoakSite {
    fn drop(&mut self) {
        self.steps.abort();
        if !self.options.keeps_logs {
            // The folder holds only settings.
            let _removed = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A loopback address in a network chosen by process id, so that parallel runs rarely collide.
fn loopback(last: u8) -> IpAddr {
    let network = u8::try_from(std::process::id() % 200).unwrap_or_default();
    IpAddr::V4(Ipv4Addr::new(127, 20 + network, 90, last))
}

/// Address of the machine of a rank; 200 machines at most.
fn rank_host(rank: u16) -> IpAddr {
    loopback(20 + u8::try_from(rank % 200).expect("a rank"))
}

/// An address of `ip` whose port the system chooses when it is bound.
const fn any_port(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, 0)
}

fn config(version: u64, desk: &str, keys: &[&str]) -> Value {
    let mut config = site_config(version, desk, WORKSPACE, keys);
    let plain = |name: &str| json!({ "name": name, "cold_s": 3.0, "cold_per_s": COLD_RATE });
    config["services"] = json!([
        plain(PLAIN_SERVICES[0]), plain(PLAIN_SERVICES[1]), { "name": "draft" },
        { "name": "llm", "engine": {
            "sets": 2, "experts": 12, "places": 6, "spare": 4,
            "expert_mb": 1.0, "link_mbps": 1000.0,
        } },
    ]);
    config
}
