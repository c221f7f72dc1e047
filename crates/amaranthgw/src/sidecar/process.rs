//! Starts and stops a sidecar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::ChangeNumber;
use amaranthgw_fleet::entry::TargetStatus;
use amaranthgw_fleet::gate::{GateRow, GateSettings};
use amaranthgw_fleet::membership::NodeIdentity;
use amaranthgw_fleet::routing::{ServiceKind, TargetStage};
use amaranthgw_fleet::settings::SidecarSettings;
use amaranthgw_fleet::sidecar::{GateEntry, ServedTarget, SidecarWorld, TargetEvidence};
use arc_swap::ArcSwap;
use ractor::{Actor, ActorRef};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, timeout};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use super::control::{ControlArguments, ControlMessage, SidecarControl};
use super::load_actor::LoadActor;
use super::service::SidecarService;
use super::shared::SidecarShared;
use super::target::{EngineClient, PlainClient, TargetClient};
use crate::control::{
    ConfigActor, ConfigArguments, VmListActor, VmListArguments, forward_reports, report_channel,
};
use crate::platform::{HttpStore, HttpVmList};
use crate::runtime::{
    Result, RuntimeError, SharedListener, StopPhase, StopSignal, ThreadGroup, spawn_thread,
};
use crate::telemetry::{EventLog, NodeEvent};
use crate::wire::node::sidecar_server::SidecarServer;

const VM_LIST_PERIOD: Duration = Duration::from_millis(500);
/// Time that connections get to close once no request is in flight.
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
    /// Returns a [`RuntimeError`] where an address is in use or a thread can't be started.
    pub fn start(settings: &SidecarSettings, log: &EventLog) -> Result<Self> {
        let listener = Arc::new(SharedListener::new(settings.node_listen)?);
        let address = listener.address();
        let stop = StopSignal::new();
        let (evidence, receiver) = report_channel();
        let entry = GateEntry::new(served_target(settings), new_gate(settings));
        let shared = Arc::new(SidecarShared {
            served: entry.served.clone(),
            client: target_client(settings),
            slots: Arc::clone(&entry.slots),
            status: ArcSwap::from_pointee(initial_status(entry.served.kind)),
            config: ArcSwap::default(),
            evidence,
            stop: stop.clone(),
        });
        let mut threads = ThreadGroup::default();
        for index in 0..settings.traffic_threads {
            let (shared, listener, log) = (
                Arc::clone(&shared),
                Arc::clone(&listener),
                log.with_own_journal(),
            );
            let serve = move || serve_traffic(shared, listener, log);
            threads.push(spawn_thread(format!("traffic-{index}"), serve)?);
        }
        let world = SidecarWorld::new(identity(settings)).with_target(entry);
        let arguments = ControlArguments {
            world,
            shared,
            log: log.clone(),
        };
        let (settings, log) = (settings.clone(), log.clone());
        let control = move || run_control(settings, arguments, receiver, log);
        threads.push(spawn_thread("control".to_owned(), control)?);
        Ok(Self {
            address,
            stop,
            threads,
        })
    }

    /// Address that entries and peers reach the sidecar at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The signal that stops the process.
    #[must_use]
    pub fn stop_signal(&self) -> StopSignal {
        self.stop.clone()
    }

    /// Waits until the process has stopped.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Panicked`] where a thread panicked.
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

async fn serve_traffic(shared: Arc<SidecarShared>, listener: Arc<SharedListener>, log: EventLog) {
    // A handle to a socket that is already bound can only fail when the process is out of files.
    let Ok(handle) = listener.handle() else {
        return;
    };
    let stop = shared.stop.clone();
    let service = SidecarServer::new(SidecarService::new(shared, log));
    let incoming = TcpListenerStream::new(handle);
    let ending = stop.clone();
    let shutdown = async move { ending.reached(StopPhase::Ending).await };
    let serving = Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
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
    receiver: UnboundedReceiver<TargetEvidence>,
    log: EventLog,
) {
    let stop = arguments.shared.stop.clone();
    let shared = Arc::clone(&arguments.shared);
    let started = Actor::spawn(None, SidecarControl, arguments).await;
    let Ok((control, _ended)) = started else {
        return;
    };
    if start_borders(&settings, &control, shared, receiver, &log)
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
    stop.reached(StopPhase::Noticing).await;
    drop(control.cast(ControlMessage::Stop));
    drop(timeout(settings.grace.duration(), stop.reached(StopPhase::Ending)).await);
    stop.advance(StopPhase::Ending);
}

async fn start_borders(
    settings: &SidecarSettings,
    control: &ActorRef<ControlMessage>,
    shared: Arc<SidecarShared>,
    receiver: UnboundedReceiver<TargetEvidence>,
    log: &EventLog,
) -> Result<()> {
    control.send_interval(settings.tick.duration(), || ControlMessage::Tick);
    let to_control = control.clone();
    let forward = move |batch| drop(to_control.cast(ControlMessage::Evidence(batch)));
    tokio::spawn(forward_reports(receiver, forward));
    let to_control = control.clone();
    let config = ConfigArguments {
        store: Arc::new(HttpStore::new(settings.store)),
        sink: Box::new(move |state| drop(to_control.cast(ControlMessage::Config(state)))),
        log: log.clone(),
    };
    let to_control = control.clone();
    let vms = VmListArguments {
        client: Box::new(HttpVmList::new(settings.vm_list)),
        sink: Box::new(move |records| drop(to_control.cast(ControlMessage::VmList(records)))),
        period: VM_LIST_PERIOD,
        log: log.clone(),
    };
    let actor_error = |_failed| RuntimeError::Actor;
    Actor::spawn(None, ConfigActor, config)
        .await
        .map_err(actor_error)?;
    Actor::spawn(None, VmListActor, vms)
        .await
        .map_err(actor_error)?;
    Actor::spawn(None, LoadActor, shared)
        .await
        .map_err(actor_error)?;
    Ok(())
}
