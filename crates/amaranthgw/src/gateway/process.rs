//! Starts and stops a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use amaranthgw_fleet::gateway::{FleetBounds, GatewayWorld, LeastLoadedPolicy, gateway_schedule};
use amaranthgw_fleet::settings::GatewaySettings;
use amaranthgw_net::ConnectionPool;
use amaranthgw_platform::store::PlatformStore;
use arc_swap::ArcSwap;
use ractor::{Actor, ActorRef};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

use super::control::{ControlMessage, ControlState, GatewayControl};
use super::feeds::{follow_operators, follow_registry};
use super::groups::follow_groups;
use super::listener::serve_callers;
use super::peers::{PeerDesk, follow_peers, serve_peers};
use super::shared::{GatewayShared, GatewayThread};
use crate::runtime::{Result, SharedListener, StopPhase, StopSignal, ThreadGroup, spawn_thread};
use crate::telemetry::{EventLog, MetricsHandle, NodeEvent, serve_health_and_metrics};

/// Time that the platform's balancer gets to notice that the gateway leaves: it asks once a second
/// and takes a process out after two misses.
const NOTICE_TIME: Duration = Duration::from_millis(2_800);
/// Time before the end by force at which what is left is cut off.
const LAST_MOMENT: Duration = Duration::from_millis(400);
/// Pause between two looks at the requests in flight of a stopping process.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

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

/// What the control thread is given.
struct ControlInputs {
    ready: SharedListener,
    node: SharedListener,
    metrics: SharedListener,
    bounds: watch::Receiver<FleetBounds>,
}

impl GatewayProcess {
    /// Starts the threads of a gateway.
    ///
    /// # Errors
    ///
    /// Returns a [`RuntimeError`](crate::runtime::RuntimeError) where an address is in use or a thread can't be started.
    pub fn start(settings: &GatewaySettings, log: &EventLog) -> Result<Self> {
        let listener = Arc::new(SharedListener::new(settings.caller_listen)?);
        let (bounds, new_bounds) = watch::channel(settings.bounds());
        let inputs = ControlInputs {
            bounds: new_bounds,
            ready: SharedListener::new(settings.ready_listen)?,
            node: SharedListener::new(settings.node_listen)?,
            metrics: SharedListener::new(settings.metrics_listen)?,
        };
        let stop = StopSignal::new();
        let shared = Arc::new(GatewayShared {
            snapshot: ArcSwap::default(),
            published: Notify::new(),
            policy: Box::new(LeastLoadedPolicy),
            domain: settings.domain.clone(),
            in_flight: AtomicU32::new(0),
            stop: stop.clone(),
        });
        let node_address = inputs.node.address();
        let (address, ready_address) = (listener.address(), inputs.ready.address());
        let mut threads = ThreadGroup::default();
        for index in 0..settings.traffic_threads {
            let (shared, listener) = (Arc::clone(&shared), Arc::clone(&listener));
            let log = log.clone();
            let serve = move || {
                let thread = GatewayThread {
                    shared,
                    pool: ConnectionPool::new(),
                    log,
                };
                serve_callers(Arc::new(thread), listener)
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

    /// Address that callers reach the gateway at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address at which the gateway says whether it is ready.
    #[must_use]
    pub const fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Address that other processes of the system reach the gateway at.
    #[must_use]
    pub const fn node_address(&self) -> SocketAddr {
        self.node_address
    }

    /// The signal that stops the process.
    #[must_use]
    pub fn stop_signal(&self) -> StopSignal {
        self.stop.clone()
    }

    /// Puts the bounds of `settings` in force; the rest takes a new start.
    pub fn reload(&self, settings: &GatewaySettings) {
        self.bounds.send_replace(settings.bounds());
    }

    /// Waits until the process has stopped.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Panicked`](crate::runtime::RuntimeError::Panicked) where a thread panicked.
    pub fn join(self) -> Result<()> {
        self.threads.join()
    }
}

async fn run_control(
    settings: GatewaySettings,
    shared: Arc<GatewayShared>,
    inputs: ControlInputs,
    log: EventLog,
) {
    let address = inputs.node.address();
    let desk = PeerDesk::new(settings.vm.clone(), address, settings.seeds.clone());
    let desk = Arc::new(desk);
    let state = ControlState {
        world: GatewayWorld::new(settings.domain.clone(), settings.bounds()),
        schedule: gateway_schedule(),
        desk: Arc::clone(&desk),
        shared: Arc::clone(&shared),
        log: log.clone(),
        was_ready: false,
    };
    let Ok((control, _ended)) = Actor::spawn(None, GatewayControl, state).await else {
        return;
    };
    control.send_interval(settings.tick.duration(), || ControlMessage::Tick);
    let Ok(peers) = inputs.node.handle() else {
        return;
    };
    tokio::spawn(serve_peers(
        peers,
        Arc::clone(&desk),
        control.clone(),
        log.clone(),
    ));
    tokio::spawn(follow_peers(desk, control.clone()));
    tokio::spawn(follow_bounds(inputs.bounds, control.clone()));
    follow_platform(&settings, &shared, &control, &log);
    let handle = MetricsHandle::new();
    for listener in [&inputs.ready, &inputs.metrics] {
        let Ok(listener) = listener.handle() else {
            return;
        };
        let observed = Arc::clone(&shared);
        let ready = Arc::new(move || observed.readiness());
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
    run_stop(&settings, &shared, &log).await;
}

/// Begins to follow the key-value service and the rank groups.
fn follow_platform(
    settings: &GatewaySettings,
    shared: &Arc<GatewayShared>,
    control: &ActorRef<ControlMessage>,
    log: &EventLog,
) {
    // Each feed has its own client: they never wait for each other's connection.
    let store = || Arc::new(PlatformStore::new(settings.store));
    tokio::spawn(follow_operators(store(), control.clone(), log.clone()));
    tokio::spawn(follow_registry(store(), control.clone(), log.clone()));
    if settings.agent_port > 0 {
        let (shared, log) = (Arc::clone(shared), log.clone());
        tokio::spawn(follow_groups(
            shared,
            control.clone(),
            settings.agent_port,
            log,
        ));
    }
}

/// Passes new bounds on to the control thread's actor.
async fn follow_bounds(
    mut bounds: watch::Receiver<FleetBounds>,
    control: ActorRef<ControlMessage>,
) {
    while bounds.changed().await.is_ok() {
        let bounds = *bounds.borrow_and_update();
        // A stopping process needs no new bounds.
        drop(control.cast(ControlMessage::Bounds(bounds)));
    }
}

/// Waits for the stop of the process and leads it through its phases.
async fn run_stop(settings: &GatewaySettings, shared: &GatewayShared, log: &EventLog) {
    let stop = &shared.stop;
    stop.reached(StopPhase::Announcing).await;
    let ends_at = Instant::now() + settings.grace.duration().saturating_sub(LAST_MOMENT);
    let in_flight = shared.in_flight.load(Ordering::SeqCst);
    log.record(NodeEvent::ProcessStopping { in_flight });
    sleep(NOTICE_TIME.min(settings.grace.duration() / 2)).await;
    stop.advance(StopPhase::Draining);
    let drained = async {
        while shared.in_flight.load(Ordering::SeqCst) > 0 {
            sleep(DRAIN_PAUSE).await;
        }
        // The last bytes of the last answers leave their connections.
        sleep(DRAIN_PAUSE * 3).await;
    };
    let left = ends_at.saturating_duration_since(Instant::now());
    drop(timeout(left, drained).await);
    let cut_off = shared.in_flight.load(Ordering::SeqCst);
    log.record(NodeEvent::ProcessStopped { cut_off });
    stop.advance(StopPhase::Ending);
}
