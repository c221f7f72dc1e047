//! Start, reload and stop of the gateway process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};

use amaranthgw_core::StartMark;
use amaranthgw_fleet::gateway::{
    CallQuarantine, DemandLedger, EarliestBeginPolicy, FleetBounds, GatewayWorld, PartMemory,
    StopPlan, TableLimits, gateway_schedule,
};
use amaranthgw_fleet::settings::GatewaySettings;
use amaranthgw_net::ConnectionPool;
use amaranthgw_platform::store::{KnownEra, PlatformStore};
use arc_swap::ArcSwap;
use ractor::{Actor, ActorRef};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::basis::whole_millis;
use super::control::{ControlMessage, ControlState, GatewayControl};
use super::gossip::{GossipLink, follow_peers, serve_peers};
use super::groups::follow_groups;
use super::listener::serve_callers;
use super::operators::operator_feed;
use super::peers::PeerRegistry;
use super::quarantine::follow_quarantine;
use super::registry::follow_registry;
use super::roster::follow_roster;
use super::shared::{GatewayShared, GatewayThread};
use crate::memory::MemoryBudget;
use crate::runtime::{
    OpenTracker, Result, SharedListener, StopPhase, StopSignal, ThreadGroup, spawn_thread,
};
use crate::telemetry::{EventLog, MetricsHandle, NodeEvent, serve_health_and_metrics};

/// A running gateway.
#[derive(Debug)]
pub struct GatewayProcess {
    address: SocketAddr,
    ready_address: SocketAddr,
    node_address: SocketAddr,
    stop: StopSignal,
    bounds: watch::Sender<FleetBounds>,
    threads: ThreadGroup,
}

/// Listeners and settings that the control thread takes over.
struct ControlInputs {
    ready: SharedListener,
    node: SharedListener,
    metrics: SharedListener,
    bounds: watch::Receiver<FleetBounds>,
    /// Open listeners and connections of callers.
    open: OpenTracker,
}

impl GatewayProcess {
    /// Starts the threads of a gateway.
    ///
    /// # Errors
    ///
    /// Returns a [`RuntimeError`](crate::runtime::RuntimeError) if an address is in use or a thread can't be started.
    pub fn start(settings: &GatewaySettings, log: &EventLog) -> Result<Self> {
        let listener = Arc::new(SharedListener::new(settings.caller_listen)?);
        let (bounds, new_bounds) = watch::channel(settings.bounds());
        let (open, guard) = OpenTracker::new();
        let inputs = ControlInputs {
            bounds: new_bounds,
            open,
            ready: SharedListener::new(settings.ready_listen)?,
            node: SharedListener::new(settings.node_listen)?,
            metrics: SharedListener::new(settings.metrics_listen)?,
        };
        let stop = StopSignal::new();
        let shared = Arc::new(GatewayShared {
            snapshot: ArcSwap::default(),
            published: Notify::new(),
            policy: Box::new(EarliestBeginPolicy::default()),
            domain: settings.domain.clone(),
            max_answer: usize::try_from(settings.max_answer.get()).unwrap_or(usize::MAX),
            memory: Arc::new(MemoryBudget::new(settings.max_held)),
            in_flight: AtomicU32::new(0),
            quarantine: CallQuarantine::new(Instant::now()),
            parts: PartMemory::new(TableLimits::default()),
            demand: Arc::new(DemandLedger::new(start_mark(), Instant::now())),
            quarantine_changes: watch::Sender::new(0),
            stop: stop.clone(),
            stop_plan: OnceLock::new(),
        });
        let node_address = inputs.node.address();
        let (address, ready_address) = (listener.address(), inputs.ready.address());
        let mut threads = ThreadGroup::default();
        for index in 0..settings.traffic_threads {
            let (shared, listener) = (Arc::clone(&shared), Arc::clone(&listener));
            let (log, guard) = (log.clone(), guard.clone());
            let serve = move || {
                let thread = GatewayThread {
                    shared,
                    pool: ConnectionPool::new(),
                    log,
                };
                serve_callers(Arc::new(thread), listener, guard)
            };
            threads.push(spawn_thread(format!("traffic-{index}"), serve)?);
        }
        let (settings, log) = (settings.clone(), log.clone());
        let control = move || run_control(settings, shared, inputs, log);
        threads.push(spawn_thread("control".to_owned(), control)?);
        Ok(Self {
            address,
            ready_address,
            node_address,
            stop,
            bounds,
            threads,
        })
    }

    /// Address at which the gateway accepts callers' requests.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the readiness check.
    #[must_use]
    pub const fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Address at which the gateway accepts queries from other gateways.
    #[must_use]
    pub const fn node_address(&self) -> SocketAddr {
        self.node_address
    }

    /// A handle to the signal that stops the process.
    #[must_use]
    pub fn stop_signal(&self) -> StopSignal {
        self.stop.clone()
    }

    /// Applies the bounds in `settings`; all other settings need a restart.
    pub fn reload(&self, settings: &GatewaySettings) {
        self.bounds.send_replace(settings.bounds());
    }

    /// Waits until the process has stopped.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Panicked`](crate::runtime::RuntimeError::Panicked) if a thread panicked.
    pub fn join(self) -> Result<()> {
        self.threads.join()
    }
}

/// Tells this process from earlier ones on its VM.
fn start_mark() -> StartMark {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    StartMark::new(whole_millis(since_epoch.unwrap_or_default()))
}

async fn run_control(
    settings: GatewaySettings,
    shared: Arc<GatewayShared>,
    inputs: ControlInputs,
    log: EventLog,
) {
    let address = inputs.node.address();
    let peer_registry = PeerRegistry::new(settings.vm.clone(), address, settings.seeds.clone());
    let peer_registry = Arc::new(peer_registry);
    let state = ControlState {
        world: GatewayWorld::new(settings.domain.clone(), settings.bounds())
            .with_demand(Arc::clone(&shared.demand)),
        schedule: gateway_schedule(),
        peer_registry: Arc::clone(&peer_registry),
        shared: Arc::clone(&shared),
        log: log.clone(),
        was_ready: false,
        logged_shares: HashMap::new(),
    };
    let Ok((control, _ended)) = Actor::spawn(None, GatewayControl, state).await else {
        return;
    };
    control.send_interval(settings.tick.duration(), || ControlMessage::Tick);
    let Ok(peers) = inputs.node.handle() else {
        return;
    };
    let link = GossipLink {
        peer_registry,
        shared: Arc::clone(&shared),
        control: control.clone(),
        log: log.clone(),
    };
    tokio::spawn(serve_peers(peers, link.clone(), log.clone()));
    tokio::spawn(follow_peers(link.clone()));
    tokio::spawn(follow_bounds(inputs.bounds, control.clone()));
    follow_platform(&settings, &link, &log);
    let handle = MetricsHandle::new();
    for listener in [&inputs.ready, &inputs.metrics] {
        let Ok(listener) = listener.handle() else {
            return;
        };
        let readiness_source = Arc::clone(&shared);
        let ready = Arc::new(move || readiness_source.readiness());
        tokio::spawn(serve_health_and_metrics(
            listener,
            handle.clone(),
            ready,
            log.clone(),
        ));
    }
    log.record(NodeEvent::ProcessStarted {
        role: "gateway".into(),
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: compact_str::format_compact!("{}", settings.caller_listen),
    });
    run_stop(&settings, &shared, inputs.open, &log).await;
}

/// Starts the feeds of the key-value service and of the rank groups.
fn follow_platform(settings: &GatewaySettings, link: &GossipLink, log: &EventLog) {
    let GossipLink {
        shared,
        control,
        peer_registry,
        ..
    } = link;
    // Each feed has its own client, so that none waits for another's connection.
    let era = Arc::new(KnownEra::default());
    let store = || {
        let store = PlatformStore::new(settings.store);
        Arc::new(store.with_known_era(Arc::clone(&era)))
    };
    let (shared, control) = (Arc::clone(shared), control.clone());
    let (operators, check) =
        operator_feed(store(), Arc::clone(&shared), control.clone(), log.clone());
    tokio::spawn(operators.run());
    tokio::spawn(follow_registry(store(), check, link.clone(), log.clone()));
    tokio::spawn(follow_roster(
        store(),
        settings.vm.clone(),
        Arc::clone(peer_registry),
        control.clone(),
        log.clone(),
    ));
    tokio::spawn(follow_quarantine(store(), Arc::clone(&shared), log.clone()));
    if settings.agent_port > 0 {
        let (agent_port, log) = (settings.agent_port, log.clone());
        tokio::spawn(follow_groups(shared, control, agent_port, log));
    }
}

/// Forwards reloaded bounds to the control thread's actor.
async fn follow_bounds(
    mut bounds: watch::Receiver<FleetBounds>,
    control: ActorRef<ControlMessage>,
) {
    while bounds.changed().await.is_ok() {
        let bounds = *bounds.borrow_and_update();
        // Fails only while the process stops.
        drop(control.cast(ControlMessage::Bounds(bounds)));
    }
}

/// Waits for the stop signal, then announces the stop, drains and ends the process. It ends early once
/// its listener and all connections are closed, so that no request can arrive any more.
async fn run_stop(
    settings: &GatewaySettings,
    shared: &GatewayShared,
    mut open: OpenTracker,
    log: &EventLog,
) {
    let stop = &shared.stop;
    stop.reached(StopPhase::Announcing).await;
    let plan = StopPlan::new(Instant::now(), settings.grace.duration());
    let plan = shared.stop_plan.get_or_init(|| plan);
    let in_flight = shared.in_flight.load(Ordering::SeqCst);
    log.record(NodeEvent::ProcessStopping { in_flight });
    sleep_until(plan.drains_from()).await;
    stop.advance(StopPhase::Draining);
    drop(timeout_at(plan.ends_at(), open.all_closed()).await);
    let cut_off = shared.in_flight.load(Ordering::SeqCst);
    log.record(NodeEvent::ProcessStopped { cut_off });
    stop.advance(StopPhase::Ending);
}
