//! Gateways of one site as separate processes, with callers that go on while they come and go.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthgw_net::{DialSettings, dial};
use amaranthgw_platform::store::GATEWAY_PREFIX;
use amaranthgw_standins::ReservedPort;
use amaranthgw_standins::site::ListingFault;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::env::{ANY_PORT, TestSite, is_ready, request};
use crate::env::eventually;

/// Time that callers wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Callers of gateways that were added later pause longer, by this factor.
const ADDED_PAUSE_FACTOR: u32 = 8;
/// Gateways for which there are callers.
const MAX_GATEWAYS: usize = 40;
/// Failed listings of the gateways, more than a test takes.
const MAX_FAULTS: usize = 100_000;
/// Numbers the fleets of the test process.
static FLEETS: AtomicU64 = AtomicU64::new(0);

/// A request that a caller has sent.
#[derive(Clone, Debug)]
pub(super) struct SentCall {
    pub(super) path: &'static str,
    pub(super) sent_at: Instant,
    /// Status of the answer; `None` if there was none.
    pub(super) status: Option<u16>,
}

impl SentCall {
    /// Number of `calls` by status of their answers.
    pub(super) fn statuses(calls: &[Self]) -> HashMap<u16, usize> {
        let mut counts = HashMap::new();
        for status in calls.iter().filter_map(|call| call.status) {
            *counts.entry(status).or_default() += 1;
        }
        counts
    }
}

/// Addresses of one process.
#[derive(Clone, Copy, Debug)]
struct GatewayAddresses {
    callers: SocketAddr,
    ready: SocketAddr,
    node: SocketAddr,
}

/// A gateway process; it is killed when dropped.
#[derive(Debug)]
struct FleetProcess(Child);

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // Both fail if the process has ended already.
        let _killed = self.0.kill();
        let _waited = self.0.wait();
    }
}

/// The gateways of one site.
pub(super) struct GatewayFleet {
    pub(super) site: TestSite,
    folder: PathBuf,
    addresses: Arc<Mutex<Vec<GatewayAddresses>>>,
    processes: Vec<FleetProcess>,
    /// Processes that were asked to stop and may still run.
    stopping: Vec<FleetProcess>,
    ports: Vec<ReservedPort>,
    launches: usize,
}

impl GatewayFleet {
    /// Starts `gateways` processes.
    pub(super) fn start(gateways: usize) -> Self {
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("amaranthgw-fleet-{}-{fleet}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let mut fleet = Self {
            site: TestSite::with_routes(),
            folder,
            addresses: Arc::default(),
            processes: Vec::new(),
            stopping: Vec::new(),
            ports: Vec::new(),
            launches: 0,
        };
        for gateway in 0..gateways {
            let seeds = fleet.seeds();
            let (process, addresses) = fleet.launch(gateway, &seeds);
            fleet.processes.push(process);
            fleet.lock_addresses().push(addresses);
        }
        fleet
    }

    /// Number of gateways.
    pub(super) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Waits until all gateways are ready.
    pub(super) async fn wait_until_ready(&self) {
        let addresses = self.lock_addresses().clone();
        for address in addresses {
            let listens = || async { std::net::TcpStream::connect(address.ready).ok() };
            drop(eventually("a listening gateway", listens).await);
            let ready = || async { is_ready(address.ready).await.then_some(()) };
            eventually("readiness", ready).await;
        }
    }

    /// Kills a gateway.
    pub(super) fn kill(&mut self, gateway: usize) {
        let process = &mut self.processes[gateway].0;
        process.kill().expect("the process can be killed");
        process.wait().expect("the process ends");
    }

    /// Asks a gateway to stop; it may go on beside its successor.
    pub(super) fn stop(&mut self, gateway: usize) {
        let id = self.processes[gateway].0.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.expect("kill runs").success(), "kill -TERM");
    }

    /// Starts the successor of a gateway, on the same VM at other ports.
    pub(super) fn launch_again(&mut self, gateway: usize) {
        let seeds = self.seeds();
        let (process, addresses) = self.launch(gateway, &seeds);
        let before = std::mem::replace(&mut self.processes[gateway], process);
        self.stopping.push(before);
        self.lock_addresses()[gateway] = addresses;
    }

    /// Adds gateways that know none of the others and can't read how many there are.
    pub(super) fn add_uncounted(&mut self, count: usize) {
        let faults = std::iter::repeat_n(ListingFault::Busy, MAX_FAULTS);
        self.site.store.fail_listings(GATEWAY_PREFIX, faults);
        for _ in 0..count {
            let (process, addresses) = self.launch(self.len(), &[]);
            self.processes.push(process);
            self.lock_addresses().push(addresses);
        }
    }

    /// Starts a caller for each gateway and path.
    pub(super) fn run_callers(&self, paths: &[&'static str], pause: Duration) -> FleetCallers {
        let stop = Arc::new(AtomicBool::new(false));
        let initial = self.len();
        let mut tasks = Vec::new();
        for (gateway, path) in
            (0..MAX_GATEWAYS).flat_map(|it| paths.iter().map(move |path| (it, *path)))
        {
            let caller = FleetCaller {
                addresses: Arc::clone(&self.addresses),
                stop: Arc::clone(&stop),
                gateway,
                path,
                pause: if gateway < initial {
                    pause
                } else {
                    pause * ADDED_PAUSE_FACTOR
                },
            };
            tasks.push(tokio::spawn(caller.run()));
        }
        FleetCallers { stop, tasks }
    }

    fn lock_addresses(&self) -> std::sync::MutexGuard<'_, Vec<GatewayAddresses>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn reserve(&mut self) -> SocketAddr {
        let port = ReservedPort::new(&[ANY_PORT.ip()]).expect("a free port");
        let address = port.address(ANY_PORT.ip());
        self.ports.push(port);
        address
    }

    /// Addresses at which new gateways find the others.
    fn seeds(&self) -> Vec<SocketAddr> {
        let addresses = self.lock_addresses();
        addresses.iter().take(3).map(|it| it.node).collect()
    }

    fn launch(&mut self, gateway: usize, seeds: &[SocketAddr]) -> (FleetProcess, GatewayAddresses) {
        let addresses = GatewayAddresses {
            callers: self.reserve(),
            ready: self.reserve(),
            node: self.reserve(),
        };
        let metrics = self.reserve();
        let store = self.site.store_address;
        let settings = json!({
            "vm": format!("gateway-{gateway}"), "domain": "domain-a",
            "caller_listen": addresses.callers, "ready_listen": addresses.ready,
            "node_listen": addresses.node, "metrics_listen": metrics, "store": store,
            "seeds": seeds, "grace": "8s",
            "retry_ratio": 0.2, "retry_slack": 94, "retry_window": "10s",
        });
        let file = self.folder.join(format!("{}.json", self.launches));
        self.launches += 1;
        std::fs::write(&file, settings.to_string()).expect("settings are written");
        let started = Command::new(env!("CARGO_BIN_EXE_amaranthgw"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        (FleetProcess(started.expect("the binary starts")), addresses)
    }
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        // Holds only settings.
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

/// Callers of all gateways.
pub(super) struct FleetCallers {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<SentCall>>>,
}

impl FleetCallers {
    /// Stops the callers and returns what they have sent.
    pub(super) async fn stop(self) -> Vec<SentCall> {
        self.stop.store(true, Ordering::Relaxed);
        let mut calls = Vec::new();
        for task in self.tasks {
            calls.extend(task.await.expect("caller"));
        }
        calls
    }
}

struct FleetCaller {
    addresses: Arc<Mutex<Vec<GatewayAddresses>>>,
    stop: Arc<AtomicBool>,
    gateway: usize,
    path: &'static str,
    pause: Duration,
}

impl FleetCaller {
    async fn run(self) -> Vec<SentCall> {
        let mut calls = Vec::new();
        let mut number = 0_u64;
        while !self.stop.load(Ordering::Relaxed) {
            let address = self.address();
            if let Some(address) = address {
                number += 1;
                calls.extend(self.call(address, number).await);
            }
            sleep(self.pause).await;
        }
        calls
    }

    fn address(&self) -> Option<SocketAddr> {
        let addresses = self.addresses.lock();
        let addresses = addresses.unwrap_or_else(PoisonError::into_inner);
        addresses.get(self.gateway).map(|it| it.callers)
    }

    /// Sends one request; `None` if the gateway can't be connected to.
    async fn call(&self, address: SocketAddr, number: u64) -> Option<SentCall> {
        let mut connection = dial(address, DialSettings::new(ANSWER_TIMEOUT))
            .await
            .ok()?;
        let id = format!("r{}{}{number}", self.gateway, self.path.replace('/', "-"));
        let mut request = request("POST", self.path, "enquiry");
        let id = id.parse().expect("header");
        request.headers_mut().insert("x-amaranthgw-request-id", id);
        let sent_at = Instant::now();
        let answered = timeout(ANSWER_TIMEOUT, connection.send(request)).await;
        let status = answered
            .ok()
            .and_then(Result::ok)
            .map(|it| it.status().as_u16());
        Some(SentCall {
            path: self.path,
            sent_at,
            status,
        })
    }
}
