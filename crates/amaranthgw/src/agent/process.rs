//! Start and stop of the agent process.

use std::sync::Arc;

use amaranthgw_fleet::settings::AgentSettings;
use amaranthgw_platform::store::{KnownEra, PlatformStore};
use tokio::sync::watch;

use super::coordinator::GroupCoordinator;
use super::election::LeaseElection;
use super::local_rank::LocalRank;
use super::relay::AgentRelay;
use super::roster::RankRoster;
use super::service::{AgentService, serve_agent};
use crate::runtime::{Result, SharedListener, StopPhase, StopSignal, ThreadGroup, spawn_thread};
use crate::telemetry::{EventLog, MetricsHandle, NodeEvent, serve_health_and_metrics};

/// A running agent.
#[derive(Debug)]
pub struct AgentProcess {
    stop: StopSignal,
    threads: ThreadGroup,
}

impl AgentProcess {
    /// Starts the control thread of an agent.
    ///
    /// # Errors
    ///
    /// Returns a [`RuntimeError`](crate::runtime::RuntimeError) if an address is in use or a thread can't be started.
    pub fn start(settings: &AgentSettings, log: &EventLog) -> Result<Self> {
        let node = SharedListener::new(settings.node_listen)?;
        let metrics = SharedListener::new(settings.metrics_listen)?;
        let stop = StopSignal::new();
        let (settings, log, stopped) = (settings.clone(), log.clone(), stop.clone());
        let control = move || run_control(settings, node, metrics, log, stopped);
        let mut threads = ThreadGroup::default();
        threads.push(spawn_thread("control".to_owned(), control)?);
        Ok(Self { stop, threads })
    }

    /// A handle to the signal that stops the process.
    #[must_use]
    pub fn stop_signal(&self) -> StopSignal {
        self.stop.clone()
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

async fn run_control(
    settings: AgentSettings,
    node: SharedListener,
    metrics: SharedListener,
    log: EventLog,
    stop: StopSignal,
) {
    let rank = Arc::new(LocalRank::new(settings.rank, log.clone()));
    let (Ok(coordinators), Ok(observers)) = (node.handle(), metrics.handle()) else {
        return;
    };
    let relay = Arc::new(AgentRelay::new(settings.node_listen.port()));
    let service = AgentService {
        rank: Arc::clone(&rank),
        relay: Arc::clone(&relay),
        log: log.clone(),
    };
    tokio::spawn(serve_agent(coordinators, service));
    tokio::spawn(serve_health_and_metrics(
        observers,
        MetricsHandle::new(),
        Arc::new(|| Ok(())),
        log.clone(),
    ));
    log.record(NodeEvent::ProcessStarted {
        role: "agent".into(),
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: compact_str::format_compact!("{}", settings.node_listen),
    });
    coordinate(&settings, rank, relay, &log, &stop).await;
    log.record(NodeEvent::ProcessStopping { in_flight: 0 });
    log.record(NodeEvent::ProcessStopped { cut_off: 0 });
    stop.advance(StopPhase::Ending);
}

/// Coordinates the group whenever this agent holds the lease, until the process stops.
async fn coordinate(
    settings: &AgentSettings,
    rank: Arc<LocalRank>,
    relay: Arc<AgentRelay>,
    log: &EventLog,
    stop: &StopSignal,
) {
    let era = Arc::new(KnownEra::default());
    let client = || PlatformStore::new(settings.store).with_known_era(Arc::clone(&era));
    let store = Arc::new(client());
    let election = LeaseElection {
        store: Arc::clone(&store),
        rank: Arc::clone(&rank),
        vm: settings.vm.clone(),
        ttl: settings.lease,
        is_fenced: settings.fenced_orders,
        log: log.clone(),
    };
    loop {
        let held = tokio::select! {
            held = election.acquire() => held,
            () = stop.reached(StopPhase::Announcing) => return,
        };
        let (lease_end, end_receiver) = watch::channel(held.expires_at);
        let end_receiver = (!settings.fenced_orders).then_some(end_receiver);
        let service = settings.service.clone();
        let roster = RankRoster::new(service.clone(), Arc::clone(&relay), Arc::clone(&rank));
        // A separate client, so that lease renewals never queue behind the coordinator's reads.
        let reads = Arc::new(client());
        let coordinator =
            GroupCoordinator::new(&held, reads, service, roster, end_receiver, log.clone());
        let is_lease_lost = tokio::select! {
            () = coordinator.run() => false,
            () = election.renew_until_lost(&held, &lease_end) => true,
            () = stop.reached(StopPhase::Announcing) => {
                election.release(&held).await;
                return;
            }
        };
        rank.end_term();
        if !is_lease_lost {
            election.release(&held).await;
        }
    }
}
