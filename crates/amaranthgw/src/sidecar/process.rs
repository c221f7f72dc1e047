//! Starts the threads of a sidecar and shuts them down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::ChangeNumber;
use amaranthgw_fleet::entry::TargetStatus;
use amaranthgw_fleet::gate::{GateRow, GateSettings};
use amaranthgw_fleet::membership::{NodeIdentity, VmRecord};
use amaranthgw_fleet::routing::{ServiceKind, TargetStage};
use amaranthgw_fleet::settings::SidecarSettings;
use amaranthgw_fleet::sidecar::{ServedTarget, ServedTargetRow, SidecarWorld, TargetEvidence};
use arc_swap::ArcSwap;
use ractor::{Actor, ActorRef};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, timeout};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use super::control::{ControlArguments, ControlMessage, SidecarControl};
use super::load_actor::LoadActor;
use super::queue::AdmissionQueue;
use super::reachability::TargetReachability;
use super::reporter::SidecarReporter;
use super::running::RunningAttempts;
use super::service::SidecarService;
use super::shared::SidecarShared;
use super::target::{EngineClient, PlainClient, TargetClient};
use crate::control::{
    ConfigInput, PlatformAdapter, SuspectTracker, forward_reports, report_channel,
};
use crate::peer::{PeerMessage, PeerService};
use crate::runtime::{
    Result, RuntimeError, SharedListener, StopPhase, StopSignal, ThreadGroup, spawn_thread,
};
use crate::telemetry::{EventLog, MetricsHandle, NodeEvent, serve_health_and_metrics};
use crate::wire::node::peer_server::PeerServer;
use crate::wire::node::sidecar_server::SidecarServer;

/// Maximum time for connections to close after the last request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running sidecar.
#[derive(Debug)]
pub struct SidecarProcess {
    address: SocketAddr,
    stop: StopSignal,
    threads: ThreadGroup,
}

impl SidecarProcess {
    /// Starts the threads of a sidecar.
    ///
    /// # Errors
    ///
    /// Returns a [`RuntimeError`] if an address is in use or a thread cannot be started.
    pub fn start(settings: &SidecarSettings, log: &EventLog) -> Result<Self> {
        let listener = Arc::new(SharedListener::new(settings.node_listen)?);
        let address = listener.address();
        let metrics_listener = SharedListener::new(settings.metrics_listen)?;
        let stop = StopSignal::new();
        let (evidence, receiver) = report_channel();
        let (message_sender, peer_messages) = report_channel();
        let entry = ServedTargetRow::new(served_target(settings), new_gate(settings));
        let shared = Arc::new(SidecarShared {
            served: entry.served.clone(),
            client: target_client(settings),
            slots: Arc::clone(&entry.slots),
            queue: AdmissionQueue::new(Arc::clone(&entry.slots)),
            reachability: TargetReachability::default(),
            running: RunningAttempts::default(),
            suspects: SuspectTracker::new(),
            status: ArcSwap::from_pointee(initial_status(entry.served.kind)),
            config: ArcSwap::default(),
            evidence,
            stop: stop.clone(),
        });
        let mut threads = ThreadGroup::default();
        for index in 0..settings.traffic_threads {
            let log = log.with_own_journal();
            let reporter = SidecarReporter {
                vm: settings.vm.clone(),
                domain: settings.domain.clone(),
                shared: Arc::clone(&shared),
                log: log.clone(),
            };
            let services = ThreadServices {
                sidecar: SidecarService::new(Arc::clone(&shared), log),
                peer: PeerService::new(
                    message_sender.clone(),
                    Arc::clone(&shared) as _,
                    Arc::new(reporter),
                ),
            };
            let (stop, listener) = (stop.clone(), Arc::clone(&listener));
            let serve = move || serve_traffic(services, stop, listener);
            threads.push(spawn_thread(format!("traffic-{index}"), serve)?);
        }
        let world = SidecarWorld::new(identity(settings)).with_target(entry);
        let arguments = ControlArguments {
            world,
            shared,
            log: log.clone(),
        };
        let (settings, log) = (settings.clone(), log.clone());
        let inputs = ControlInputs {
            evidence: receiver,
            peer_messages,
            metrics_listener,
        };
        let control = move || run_control(settings, arguments, inputs, log);
        threads.push(spawn_thread("control".to_owned(), control)?);
        Ok(Self {
            address,
            stop,
            threads,
        })
    }

    /// Returns the address that entries and peers connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
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
    /// Returns [`RuntimeError::Panicked`] if a thread panicked.
    pub fn join(self) -> Result<()> {
        self.threads.join()
    }
}

fn identity(settings: &SidecarSettings) -> NodeIdentity {
    NodeIdentity {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
    }
}

fn served_target(settings: &SidecarSettings) -> ServedTarget {
    let target = &settings.target;
    ServedTarget {
        target: target.id.clone(),
        service: target.service.clone(),
        kind: target.kind,
    }
}

fn new_gate(settings: &SidecarSettings) -> GateRow {
    let gate = GateSettings {
        cold_limit: settings.gate.cold_limit,
        full_limit: settings.gate.full_limit,
        growth_answers: settings.gate.growth_answers,
        ..GateSettings::default()
    };
    GateRow::new(gate, Instant::now())
}

fn target_client(settings: &SidecarSettings) -> Box<dyn TargetClient> {
    match settings.target.kind {
        ServiceKind::Model => Box::new(EngineClient::new(settings.target.address)),
        ServiceKind::Plain => Box::new(PlainClient::new(settings.target.address)),
    }
}

fn initial_status(kind: ServiceKind) -> TargetStatus {
    TargetStatus {
        kind,
        in_flight: amaranthgw_core::SlotCount::default(),
        limit: amaranthgw_core::SlotCount::default(),
        stage: TargetStage::Unreachable,
        start_mark: amaranthgw_core::StartMark::default(),
        first_chunk_ms: 0.0,
        change: ChangeNumber::default(),
    }
}

/// gRPC services of one traffic thread.
struct ThreadServices {
    sidecar: SidecarService,
    peer: PeerService,
}

/// Channels and listeners of the control thread.
struct ControlInputs {
    evidence: UnboundedReceiver<TargetEvidence>,
    peer_messages: UnboundedReceiver<PeerMessage>,
    metrics_listener: SharedListener,
}

async fn serve_traffic(services: ThreadServices, stop: StopSignal, listener: Arc<SharedListener>) {
    // Duplicating a bound socket only fails when the process is out of file descriptors.
    let Ok(handle) = listener.handle() else {
        return;
    };
    let incoming = TcpIncoming::from(handle).with_nodelay(Some(true));
    let ending = stop.clone();
    let shutdown = async move { ending.reached(StopPhase::Ending).await };
    let serving = Server::builder()
        .add_service(SidecarServer::new(services.sidecar))
        .add_service(PeerServer::new(services.peer))
        .serve_with_incoming_shutdown(incoming, shutdown);
    tokio::pin!(serving);
    tokio::select! {
        _ended = &mut serving => {}
        () = stop.reached(StopPhase::Ending) => drop(timeout(CLOSE_TIMEOUT, serving).await),
    }
}

async fn run_control(
    settings: SidecarSettings,
    arguments: ControlArguments,
    inputs: ControlInputs,
    log: EventLog,
) {
    let stop = arguments.shared.stop.clone();
    let shared = Arc::clone(&arguments.shared);
    let started = Actor::spawn(None, SidecarControl, arguments).await;
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
    if start_adapters(&settings, &control, shared, inputs, &log)
        .await
        .is_err()
    {
        return;
    }
    log.record(NodeEvent::ProcessStarted {
        role: "sidecar".into(),
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: compact_str::format_compact!("{}", settings.node_listen),
    });
    stop.reached(StopPhase::Announcing).await;
    drop(control.cast(ControlMessage::Stop));
    drop(timeout(settings.grace.duration(), stop.reached(StopPhase::Ending)).await);
    stop.advance(StopPhase::Ending);
}

async fn start_adapters(
    settings: &SidecarSettings,
    control: &ActorRef<ControlMessage>,
    shared: Arc<SidecarShared>,
    inputs: ControlInputs,
    log: &EventLog,
) -> Result<()> {
    control.send_interval(settings.tick.duration(), || ControlMessage::Tick);
    let to_control = control.clone();
    let forward = move |batch| drop(to_control.cast(ControlMessage::Evidence(batch)));
    tokio::spawn(forward_reports(inputs.evidence, forward));
    let to_control = control.clone();
    let sink = move |state| drop(to_control.cast(ControlMessage::Config(state)));
    let adapter = PlatformAdapter {
        identity: identity(settings),
        store: settings.store,
        vm_list: settings.vm_list,
        log: log.clone(),
    };
    let config = adapter
        .start_config(Box::new(sink), inputs.peer_messages)
        .await?;
    let to_control = control.clone();
    let sink = move |records: Vec<VmRecord>| {
        drop(config.cast(ConfigInput::Vms(records.clone())));
        drop(to_control.cast(ControlMessage::VmList(records)));
    };
    adapter.start_vm_list(Box::new(sink)).await?;
    Actor::spawn(None, LoadActor, shared)
        .await
        .map_err(|_failed| RuntimeError::Actor)?;
    Ok(())
}
