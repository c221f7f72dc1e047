//! Starts the threads of an entry and shuts them down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use amaranthgw_fleet::entry::EntryWorld;
use amaranthgw_fleet::membership::{NodeIdentity, VmRecord};
use amaranthgw_fleet::retries::RetrySettings;
use amaranthgw_fleet::routing::{LocalityPolicy, RoutePolicy, SubsetSettings};
use amaranthgw_fleet::settings::EntrySettings;
use arc_swap::ArcSwap;
use ractor::{Actor, ActorRef};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, timeout};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use super::control::{ControlArguments, ControlMessage, EntryControl};
use super::listener::serve_callers;
use super::reporter::EntryReporter;
use super::shared::{EntryShared, TrafficReport, TrafficThread};
use crate::control::{
    ClaimManager, ClaimRequest, ConfigInput, PlatformAdapter, SuspectTracker, forward_reports,
    report_channel,
};
use crate::link::GrpcLink;
use crate::peer::{GrpcPeerLink, PeerService};
use crate::runtime::{Result, SharedListener, StopPhase, StopSignal, ThreadGroup, spawn_thread};
use crate::telemetry::{EventLog, MetricsHandle, NodeEvent, serve_health_and_metrics};
use crate::wire::node::peer_server::PeerServer;

/// Delay between failing readiness and refusing requests, so that the platform's balancer stops
/// sending new ones.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(2);

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    address: SocketAddr,
    node_address: SocketAddr,
    stop: StopSignal,
    threads: ThreadGroup,
}

impl EntryProcess {
    /// Starts the threads of an entry.
    ///
    /// # Errors
    ///
    /// Returns a [`RuntimeError`](crate::runtime::RuntimeError) if an address is in use or a thread
    /// cannot be started.
    pub fn start(settings: &EntrySettings, log: &EventLog) -> Result<Self> {
        Self::start_with_policy(settings, log, Box::new(LocalityPolicy::new()))
    }

    /// Starts the threads of an entry that chooses targets by `policy`.
    ///
    /// # Errors
    ///
    /// Returns a [`RuntimeError`](crate::runtime::RuntimeError) if an address is in use or a thread
    /// cannot be started.
    pub fn start_with_policy(
        settings: &EntrySettings,
        log: &EventLog,
        policy: Box<dyn RoutePolicy>,
    ) -> Result<Self> {
        let listener = Arc::new(SharedListener::new(settings.caller_listen)?);
        let node_listener = SharedListener::new(settings.node_listen)?;
        let address = listener.address();
        let node_address = node_listener.address();
        let metrics_listener = SharedListener::new(settings.metrics_listen)?;
        let stop = StopSignal::new();
        let (reports, receiver) = report_channel();
        let (claims, claim_requests) = report_channel();
        let shared = Arc::new(EntryShared {
            snapshot: ArcSwap::default(),
            policy,
            retries: RetrySettings::new(),
            suspects: SuspectTracker::new(),
            suspect_lock: tokio::sync::Mutex::new(()),
            claims: ClaimManager::new(claims),
            reports,
            in_flight: AtomicU32::new(0),
            max_body: settings.max_body,
            stop: stop.clone(),
        });
        let mut threads = ThreadGroup::default();
        for index in 0..settings.traffic_threads {
            let (shared, listener) = (Arc::clone(&shared), Arc::clone(&listener));
            let log = log.with_own_journal();
            let serve = move || {
                let thread = TrafficThread {
                    shared,
                    link: Box::new(GrpcLink::new()),
                    log,
                };
                serve_callers(Arc::new(thread), listener)
            };
            threads.push(spawn_thread(format!("traffic-{index}"), serve)?);
        }
        let (settings, log) = (settings.clone(), log.clone());
        let inputs = ControlInputs {
            reports: receiver,
            claim_requests,
            node_listener,
            metrics_listener,
        };
        let control = move || run_control(settings, shared, inputs, log);
        threads.push(spawn_thread("control".to_owned(), control)?);
        Ok(Self {
            address,
            node_address,
            stop,
            threads,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that peers and operators connect to.
    #[must_use]
    pub const fn node_address(&self) -> SocketAddr {
        self.node_address
    }

    /// Returns the signal that stops the process.
    #[must_use]
    pub fn stop_signal(&self) -> StopSignal {
        self.stop.clone()
    }

    /// Waits until all threads of the process have ended.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Panicked`](crate::runtime::RuntimeError::Panicked) if a thread
    /// panicked.
    pub fn join(self) -> Result<()> {
        self.threads.join()
    }
}

/// Channels and listeners of the control thread.
struct ControlInputs {
    reports: UnboundedReceiver<TrafficReport>,
    claim_requests: UnboundedReceiver<ClaimRequest>,
    node_listener: SharedListener,
    metrics_listener: SharedListener,
}

async fn run_control(
    settings: EntrySettings,
    shared: Arc<EntryShared>,
    inputs: ControlInputs,
    log: EventLog,
) {
    let adapter = platform_adapter(&settings, &log);
    let Ok(share_actor) = adapter.start_shares(settings.limit_slot.clone()).await else {
        return;
    };
    let arguments = ControlArguments {
        world: new_world(&settings),
        shared: Arc::clone(&shared),
        link: Arc::new(GrpcLink::new()),
        peers: Arc::new(GrpcPeerLink::new()),
        shares: share_actor,
        log: log.clone(),
    };
    let started = Actor::spawn(None, EntryControl, arguments).await;
    let Ok((control, _ended)) = started else {
        return;
    };
    let Ok(metrics_socket) = inputs.metrics_listener.handle() else {
        return;
    };
    let probed = Arc::clone(&shared);
    let ready = Arc::new(move || probed.readiness());
    tokio::spawn(serve_health_and_metrics(
        metrics_socket,
        MetricsHandle::new(),
        ready,
        log.clone(),
    ));
    if start_adapters(&settings, &adapter, &control, &shared, inputs)
        .await
        .is_err()
    {
        return;
    }
    log.record(NodeEvent::ProcessStarted {
        role: "entry".into(),
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: compact_str::format_compact!("{}", settings.caller_listen),
    });
    shut_down(&settings, &shared, &log).await;
}

/// Waits for the stop signal and takes the process through the phases of its shutdown.
async fn shut_down(settings: &EntrySettings, shared: &EntryShared, log: &EventLog) {
    let stop = &shared.stop;
    stop.reached(StopPhase::Announcing).await;
    let in_flight = shared.in_flight.load(Ordering::SeqCst);
    log.record(NodeEvent::ProcessStopping { in_flight });
    sleep(ANNOUNCE_DELAY).await;
    stop.advance(StopPhase::Draining);
    drop(timeout(settings.grace.duration(), stop.reached(StopPhase::Ending)).await);
    let cut_off = shared.in_flight.load(Ordering::SeqCst);
    log.record(NodeEvent::ProcessStopped { cut_off });
    stop.advance(StopPhase::Ending);
}

async fn start_adapters(
    settings: &EntrySettings,
    adapter: &PlatformAdapter,
    control: &ActorRef<ControlMessage>,
    shared: &Arc<EntryShared>,
    inputs: ControlInputs,
) -> Result<()> {
    control.send_interval(settings.tick.duration(), || ControlMessage::Tick);
    let to_control = control.clone();
    let forward = move |batch| drop(to_control.cast(ControlMessage::Reports(batch)));
    tokio::spawn(forward_reports(inputs.reports, forward));
    let (message_sender, peer_messages) = report_channel();
    let reporter = EntryReporter {
        control: control.clone(),
        log: adapter.log.clone(),
    };
    let peer = PeerServer::new(PeerService::new(
        message_sender,
        Arc::clone(shared) as _,
        Arc::new(reporter),
    ));
    let incoming = TcpIncoming::from(inputs.node_listener.handle()?).with_nodelay(Some(true));
    tokio::spawn(
        Server::builder()
            .add_service(peer)
            .serve_with_incoming(incoming),
    );
    adapter.start_claims(inputs.claim_requests).await?;
    let to_control = control.clone();
    let sink = move |state| drop(to_control.cast(ControlMessage::Config(state)));
    let config = adapter.start_config(Box::new(sink), peer_messages).await?;
    let to_control = control.clone();
    let sink = move |records: Vec<VmRecord>| {
        drop(config.cast(ConfigInput::Vms(records.clone())));
        drop(to_control.cast(ControlMessage::VmList(records)));
    };
    adapter.start_vm_list(Box::new(sink)).await
}

fn platform_adapter(settings: &EntrySettings, log: &EventLog) -> PlatformAdapter {
    PlatformAdapter {
        identity: identity(settings),
        store: settings.store,
        vm_list: settings.vm_list,
        log: log.clone(),
    }
}

fn new_world(settings: &EntrySettings) -> EntryWorld {
    let size = usize::from(settings.subset_size);
    let subset = SubsetSettings::new(&settings.vm).with_sizes(size, size, size);
    EntryWorld::new(identity(settings), Instant::now()).with_subset(subset)
}

fn identity(settings: &EntrySettings) -> NodeIdentity {
    NodeIdentity {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
    }
}
