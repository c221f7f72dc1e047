//! Coordinator of one rank group: polls its ranks, plans placements and drives map switches.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    GroupGeneration, MapVersion, RankId, ServiceId, StoreRevision, saturating_whole,
};
use amaranthgw_fleet::gateway::{ExpertShape, TargetRecord};
use amaranthgw_groups::rebalance::{
    ExpertDemand, GroupPlacement, OrderReply, PendingOrder, PlannerInput, PlannerLimits, RankOrder,
    RankView, SwitchDriver, SwitchPhase, plan_change,
};
use amaranthgw_platform::store::PlatformStore;
use compact_str::ToCompactString;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::AgentError;
use super::election::HeldLease;
use super::link::{ForwardedOrder, SharedLink, ViewQuery};
use super::roster::{RankRoster, list_targets, read_shape};
use crate::telemetry::{EventLog, NodeEvent};

/// Interval between polls of all ranks while no switch is in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between polls while weights are copied or a switch settles.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the replies to a poll, several usual round trips; then a plan is made from those
/// that arrived.
const POLL_REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time per rank of the group that the poll interval during a switch must at least allow, so that
/// polls leave most of an 8 Mbit/s link free.
const POLL_INTERVAL_PER_RANK: Duration = Duration::from_millis(4);
/// Interval between reads of the registry while ranks are missing.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of the registry once all ranks are found.
const ROSTER_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Largest number of expert counts read in one poll of all ranks: at about five bytes each, 60 KB,
/// which an 8 Mbit/s link carries in 60 ms.
const COUNTS_PER_POLL: usize = 12_000;
/// Expert counts read per second: about 300 KB, which leaves most of an 8 Mbit/s link free.
const COUNTS_PER_SECOND: u32 = 60_000;
/// Imbalance (largest over mean load) below which an expert set is left as it is.
const TOLERATED_IMBALANCE: f64 = 1.08;
/// A replica is added only if it reduces the largest load by at least this share of the mean load.
const MIN_REPLICA_GAIN: f64 = 0.02;
/// Smallest reduction of the mean imbalance (largest over mean load) for which a switch is started.
const MIN_SWITCH_GAIN: f64 = 0.25;
/// Time that one rank may spend on copies for one switch: the popularity of experts changes every
/// few seconds, and steps take longer while weights are copied.
const COPY_TIME_BUDGET: Duration = Duration::from_millis(570);

/// The state of a rank and the time of the query for it.
struct RankObservation {
    view: RankView,
    queried_at: Instant,
}

/// Result of a call that the coordinator started.
enum CoordinatorEvent {
    /// The rank at the address replied over the link.
    Observed(SocketAddr, SharedLink, RankObservation),
    /// The rank at the address did not reply.
    Unanswered(SocketAddr, AgentError),
    /// The registered targets and the expert shape; `None` for what was not read or could not be.
    Listed(
        Option<(Vec<TargetRecord>, StoreRevision)>,
        Option<ExpertShape>,
    ),
    /// A rank replied to an order.
    Replied(PendingOrder, OrderReply),
}

/// Coordinator of a group, for one term of its lease.
pub(super) struct GroupCoordinator {
    store: Arc<PlatformStore>,
    service: ServiceId,
    roster: RankRoster,
    driver: SwitchDriver,
    /// Expert shape of the service: its expert sets and how many experts a rank can hold.
    shape: Option<ExpertShape>,
    demand: Option<ExpertDemand>,
    /// Last known address of each rank of this group, and the link to it.
    rank_links: HashMap<RankId, (SocketAddr, SharedLink)>,
    /// Addresses of the ranks of this group.
    members: HashSet<SocketAddr>,
    /// Addresses of the ranks of the service's other groups.
    other_group_ranks: HashSet<SocketAddr>,
    last_discovery_at: Option<Instant>,
    /// Time of the last poll that read expert counts.
    counted_at: Option<Instant>,
    /// Number of polls that read expert counts.
    counting_polls: usize,
    /// Ranks of the group that did not reply to their last query.
    silent: HashSet<SocketAddr>,
    /// Ranks whose reply to a query is outstanding.
    awaiting_reply: HashSet<SocketAddr>,
    /// Time at which to plan even if replies are missing.
    plan_deadline: Option<Instant>,
    /// Latest store revision read during this term, at first that of the lease. It goes into each
    /// query, so that the next coordinator can check in the store whether another one held the
    /// lease since.
    known_revision: StoreRevision,
    placement: Option<(GroupGeneration, MapVersion, GroupPlacement)>,
    /// End of the lease; `None` if orders are fenced, as ranks then refuse late orders themselves.
    lease_end: Option<watch::Receiver<Instant>>,
    group: amaranthgw_core::GroupId,
    log: EventLog,
    events: UnboundedSender<CoordinatorEvent>,
    inbox: UnboundedReceiver<CoordinatorEvent>,
}

impl GroupCoordinator {
    /// Creates the coordinator for the lease `held`, which ends at the time in `lease_end`; without
    /// `lease_end`, orders are also sent later and ranks refuse those that come too late.
    pub(super) fn new(
        held: &HeldLease,
        store: Arc<PlatformStore>,
        service: ServiceId,
        roster: RankRoster,
        lease_end: Option<watch::Receiver<Instant>>,
        log: EventLog,
    ) -> Self {
        let (events, inbox) = unbounded_channel();
        Self {
            driver: SwitchDriver::new(held.rank, held.fence, Instant::now())
                .with_previous(held.previous),
            store,
            service,
            roster,
            shape: None,
            demand: None,
            rank_links: HashMap::new(),
            members: HashSet::new(),
            other_group_ranks: HashSet::new(),
            last_discovery_at: None,
            counted_at: None,
            counting_polls: 0,
            silent: HashSet::new(),
            awaiting_reply: HashSet::new(),
            plan_deadline: None,
            known_revision: StoreRevision::new(held.fence.get()),
            placement: None,
            lease_end,
            group: held.group.clone(),
            log,
            events,
            inbox,
        }
    }

    /// Coordinates the group until a later coordinator has sent orders; the caller drops the future
    /// when the lease is lost.
    pub(super) async fn run(mut self) {
        let mut poll_at = Instant::now();
        self.refresh(Duration::ZERO);
        while !self.driver.is_superseded() {
            let now = Instant::now();
            if now >= poll_at {
                self.poll_ranks(now);
                poll_at = now + self.poll_interval();
            }
            let wake_at = self.plan_deadline.map_or(poll_at, |at| at.min(poll_at));
            tokio::select! {
                Some(event) = self.inbox.recv() => self.handle_event(event),
                () = sleep_until(wake_at) => {}
            }
            self.advance();
            poll_at = poll_at.min(Instant::now() + self.poll_interval());
        }
    }

    /// Starts a read of the registry, and of the expert shape unless known, after `delay`.
    fn refresh(&self, delay: Duration) {
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        let service = self.shape.is_none().then(|| self.service.clone());
        tokio::spawn(async move {
            sleep(delay).await;
            let shape = match service {
                Some(service) => read_shape(&store, &service).await.unwrap_or_default(),
                None => None,
            };
            let ranks = list_targets(&store).await.ok();
            // Fails only once the coordinator has ended.
            drop(events.send(CoordinatorEvent::Listed(ranks, shape)));
        });
    }

    /// Applies what was read and schedules the next read; a failed read leaves the known values.
    fn apply_listing(
        &mut self,
        ranks: Option<(Vec<TargetRecord>, StoreRevision)>,
        shape: Option<ExpertShape>,
    ) {
        if let Some(shape) = shape {
            self.shape = Some(shape);
            self.demand = Some(ExpertDemand::new(shape.sets, shape.experts));
        }
        if let Some((ranks, as_of)) = ranks {
            self.known_revision = self.known_revision.max(as_of);
            self.roster.adopt(&ranks);
            // Ranks may have joined another group since.
            self.other_group_ranks.clear();
        }
        let is_complete = self.driver.is_complete(Instant::now()) && self.shape.is_some();
        self.refresh(if is_complete {
            ROSTER_REFRESH_INTERVAL
        } else {
            DISCOVERY_INTERVAL
        });
    }

    fn poll_interval(&self) -> Duration {
        match self.driver.phase() {
            SwitchPhase::Idle => IDLE_POLL_INTERVAL,
            _ => SWITCH_POLL_INTERVAL
                .max(POLL_INTERVAL_PER_RANK * u32::try_from(self.members.len()).unwrap_or(1)),
        }
    }

    /// Queries the state of the group's ranks and, once per discovery interval, of ranks whose group
    /// is unknown.
    fn poll_ranks(&mut self, now: Instant) {
        let count_interval = self.count_interval();
        let is_counting = self.counted_at.is_none_or(|at| now >= at + count_interval);
        if is_counting {
            self.counted_at = Some(now);
            self.counting_polls += 1;
        }
        let is_discovery = self
            .last_discovery_at
            .is_none_or(|at| now >= at + DISCOVERY_INTERVAL);
        if is_discovery {
            self.last_discovery_at = Some(now);
        }
        self.plan_deadline = Some(now + POLL_REPLY_TIMEOUT);
        let stride = self.count_stride();
        let query = ViewQuery {
            mark: self.driver.mark(self.known_revision),
            with_counts: false,
            slow: self.slow_ranks(),
        };
        for (index, (rank, link)) in self.roster.links().enumerate() {
            let is_other = self.other_group_ranks.contains(rank);
            let is_known = self.members.contains(rank);
            if is_other || !(is_known || is_discovery) || !self.awaiting_reply.insert(*rank) {
                continue;
            }
            let with_counts =
                is_counting && is_known && (index + self.counting_polls).is_multiple_of(stride);
            let (rank, link, events) = (*rank, Arc::clone(link), self.events.clone());
            let query = ViewQuery {
                with_counts,
                ..query.clone()
            };
            tokio::spawn(async move {
                let event = match link.view(query).await {
                    Ok(view) => {
                        let observation = RankObservation {
                            view,
                            queried_at: now,
                        };
                        CoordinatorEvent::Observed(rank, Arc::clone(&link), observation)
                    }
                    Err(error) => CoordinatorEvent::Unanswered(rank, error),
                };
                // Fails only once the coordinator has ended.
                drop(events.send(event));
            });
        }
    }

    /// Addresses of the ranks above the slowdown threshold.
    fn slow_ranks(&self) -> Vec<SocketAddr> {
        let slow = self.driver.views().filter(|view| view.is_slow());
        slow.filter_map(|view| self.rank_links.get(&view.rank))
            .map(|(address, _link)| *address)
            .collect()
    }

    /// Interval between polls that read expert counts.
    fn count_interval(&self) -> Duration {
        let counts_per_rank = self.shape.map_or(0, |shape| shape.sets * shape.experts);
        let counts_per_poll = counts_per_rank * self.members.len() / self.count_stride();
        Duration::from_secs(1) * u32::try_from(counts_per_poll).unwrap_or(u32::MAX)
            / COUNTS_PER_SECOND
    }

    /// Number of polls over which the counts of all ranks are spread.
    fn count_stride(&self) -> usize {
        let counts_per_rank = self.shape.map_or(0, |shape| shape.sets * shape.experts);
        (counts_per_rank * self.members.len())
            .div_ceil(COUNTS_PER_POLL)
            .max(1)
    }

    fn handle_event(&mut self, event: CoordinatorEvent) {
        let now = Instant::now();
        if let CoordinatorEvent::Observed(address, ..) | CoordinatorEvent::Unanswered(address, _) =
            &event
        {
            self.awaiting_reply.remove(address);
        }
        match event {
            CoordinatorEvent::Observed(address, link, observation)
                if observation.view.group == self.group =>
            {
                self.record_reachability(address, None);
                self.members.insert(address);
                self.rank_links
                    .insert(observation.view.rank, (address, link));
                self.driver
                    .observe(observation.view, observation.queried_at, now);
            }
            CoordinatorEvent::Observed(address, ..) => {
                self.other_group_ranks.insert(address);
            }
            CoordinatorEvent::Unanswered(address, error) if self.members.contains(&address) => {
                self.record_reachability(address, Some(&error));
            }
            // The group of a rank that never replied is unknown.
            CoordinatorEvent::Unanswered(..) => {}
            CoordinatorEvent::Listed(ranks, shape) => self.apply_listing(ranks, shape),
            CoordinatorEvent::Replied(order, reply) => self.driver.reply(&order, reply, now),
        }
    }

    /// Logs when a rank stops or resumes replying.
    fn record_reachability(&mut self, rank: SocketAddr, error: Option<&AgentError>) {
        let is_change = match error {
            Some(_) => self.silent.insert(rank),
            None => self.silent.remove(&rank),
        };
        if is_change {
            self.log.record(NodeEvent::RankShifted {
                group: self.group.clone(),
                address: rank.to_compact_string(),
                state: if error.is_some() { "silent" } else { "seen" },
                reason: error
                    .map(ToCompactString::to_compact_string)
                    .unwrap_or_default(),
            });
        }
    }

    fn advance(&mut self) {
        let now = Instant::now();
        if self
            .lease_end
            .as_ref()
            .is_some_and(|lease_end| *lease_end.borrow() <= now)
        {
            return;
        }
        // One plan for each poll, since planning takes longer than handling the replies to a poll.
        let is_due = |by: Instant| self.awaiting_reply.is_empty() || by <= now;
        if self.plan_deadline.is_some_and(is_due) {
            self.plan_deadline = None;
            self.plan(now);
        }
        for pending in self.driver.pending_orders(now) {
            self.send(pending);
        }
        for event in self.driver.take_events() {
            self.log.record(NodeEvent::SwitchShifted {
                group: self.group.clone(),
                phase: event.phase,
                version: event.version,
                step: event.step,
                cause: event.cause,
            });
        }
    }

    /// Starts a switch if it reduces the mean imbalance by at least `MIN_SWITCH_GAIN`.
    fn plan(&mut self, now: Instant) {
        let Some(version) = self.driver.common_map(now) else {
            return;
        };
        self.refresh_placement(version);
        let (Some(shape), Some(demand)) = (self.shape, self.demand.as_mut()) else {
            return;
        };
        if !demand.observe(self.driver.views(), now) {
            return;
        }
        let Some((_, _, placement)) = &self.placement else {
            return;
        };
        let limits = PlannerLimits {
            places: shape.places,
            new_per_set: shape.new_per_set,
            new_per_rank: shape.copies_within(COPY_TIME_BUDGET),
            tolerated_imbalance: TOLERATED_IMBALANCE,
            min_gain: MIN_REPLICA_GAIN,
        };
        let slowdown: Vec<f64> = self.driver.views().map(RankView::slowdown).collect();
        let input = PlannerInput {
            placement,
            demand: demand.recent(),
            long_term: demand.long_term(),
            slowdown: &slowdown,
        };
        let change = plan_change(input, &limits);
        let Some(change) = change.filter(|it| it.before - it.after >= MIN_SWITCH_GAIN) else {
            return;
        };
        self.log.record(NodeEvent::PlacementPlanned {
            group: self.group.clone(),
            version,
            copies: u64::try_from(change.copies).unwrap_or(u64::MAX),
            most_copies: u64::try_from(change.most_copies).unwrap_or(u64::MAX),
            before_percent: percent(change.before),
            after_percent: percent(change.after),
        });
        let copy_time = shape.copy_time(change.most_copies);
        self.driver
            .start(Arc::new(change.placement), copy_time, now);
    }

    /// Caches the placement of the common map, as views that were read during a switch may lack the
    /// experts.
    fn refresh_placement(&mut self, version: MapVersion) {
        let generation = self.driver.views().next().map(|view| view.generation);
        let known = self.placement.as_ref();
        let is_known = known.is_some_and(|known| Some(known.0) == generation && known.1 == version);
        if is_known {
            return;
        }
        let common = self.driver.common_placement();
        let Some((generation, placement)) = generation.zip(common) else {
            return;
        };
        self.placement = Some((generation, version, placement));
    }

    fn send(&self, pending: PendingOrder) {
        let Some((_address, link)) = self.rank_links.get(&pending.rank).cloned() else {
            return;
        };
        let events = self.events.clone();
        let forwarded = ForwardedOrder {
            order: pending.order.clone(),
            fence: pending.fencing,
            generation: pending.generation,
        };
        tokio::spawn(async move {
            let reply = match pending.order {
                RankOrder::Hold { .. } | RankOrder::Go { .. } => {
                    link.order_directly(forwarded).await
                }
                _ => link.order(forwarded).await,
            };
            drop(events.send(CoordinatorEvent::Replied(pending, reply)));
        });
    }
}

fn percent(ratio: f64) -> u64 {
    saturating_whole((ratio * 100.0).round())
}
