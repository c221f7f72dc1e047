//! Leads one group: reads all ranks, plans placements and drives switches.

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
use super::election::WonLease;
use super::link::{PassedOrder, SharedLink, ViewAsk};
use super::roster::{RankRoster, list_ranks, read_shape};
use crate::telemetry::{EventLog, NodeEvent};

/// Pause between two looks at all ranks while no switch is under way.
const CALM_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two looks while weights are copied or a switch settles.
const BUSY_PAUSE: Duration = Duration::from_millis(50);
/// Time from a look at all ranks until its answers are there, some times their usual way.
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// The least pause for each rank of a group, so that looks leave most of a link of 8 Mbit/s free.
const PAUSE_PER_RANK: Duration = Duration::from_millis(4);
/// Pause between two reads of the registry while ranks are missing.
const SEARCH_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two reads of the registry while all ranks are there.
const ROSTER_PAUSE: Duration = Duration::from_secs(5);
/// Counts read in one look at all ranks: some five bytes each, over links of 8 Mbit/s and more.
const COUNTS_PER_LOOK: usize = 12_000;
/// Counts read in a second: some 300 KB, which leaves most of a link of 8 Mbit/s free.
const COUNTS_PER_SECOND: u32 = 60_000;
/// Imbalance below which a set is left as it is.
const LEVEL_IMBALANCE: f64 = 1.08;
/// Part of the mean load that one more copied expert must take off the largest load.
const COPY_GAIN: f64 = 0.02;
/// Mean imbalance that a change must take off.
const CHANGE_GAIN: f64 = 0.25;
/// Time that one rank may copy for one change: topics shift every few seconds, and steps take
/// longer while weights are copied.
const COPY_TIME: Duration = Duration::from_millis(570);

/// The state of a rank, with the time at which it was asked for.
struct SeenRank {
    view: RankView,
    asked_at: Instant,
}

/// What comes back to the coordinator.
enum LinkEvent {
    /// A rank was seen at its address through one of the links.
    Seen(SocketAddr, SharedLink, SeenRank),
    /// The rank at the address gave no answer.
    Unseen(SocketAddr, AgentError),
    /// What registry and configuration say, as far as they could be read.
    Listed(
        Option<(Vec<TargetRecord>, StoreRevision)>,
        Option<ExpertShape>,
    ),
    /// An order was answered.
    Replied(PendingOrder, OrderReply),
}

/// A group's coordinator, for as long as it holds the lease.
pub(super) struct GroupCoordinator {
    store: Arc<PlatformStore>,
    service: ServiceId,
    roster: RankRoster,
    driver: SwitchDriver,
    shape: Option<ExpertShape>,
    demand: Option<ExpertDemand>,
    /// Where each rank of this group was last seen, and the way to it.
    ways: HashMap<RankId, (SocketAddr, SharedLink)>,
    /// Ranks of this group, and of other groups of the service.
    members: HashSet<SocketAddr>,
    strangers: HashSet<SocketAddr>,
    searched_at: Option<Instant>,
    counted_at: Option<Instant>,
    looks: usize,
    unseen: HashSet<SocketAddr>,
    /// Ranks that were asked and have not answered yet.
    asked: HashSet<SocketAddr>,
    /// When the group is planned for at the latest, with what is known by then.
    plan_by: Option<Instant>,
    /// Revision of the store at which this agent certainly led.
    known_at: StoreRevision,
    placement: Option<(GroupGeneration, MapVersion, GroupPlacement)>,
    /// End of the lease, where orders after it would not be refused by the ranks.
    until: Option<watch::Receiver<Instant>>,
    group: amaranthgw_core::GroupId,
    log: EventLog,
    events: UnboundedSender<LinkEvent>,
    inbox: UnboundedReceiver<LinkEvent>,
}

impl GroupCoordinator {
    /// Creates the coordinator that holds `won` until the time that `until` tells.
    pub(super) fn new(
        won: &WonLease,
        store: Arc<PlatformStore>,
        service: ServiceId,
        roster: RankRoster,
        until: Option<watch::Receiver<Instant>>,
        log: EventLog,
    ) -> Self {
        let (events, inbox) = unbounded_channel();
        Self {
            driver: SwitchDriver::new(won.rank, won.fence, Instant::now())
                .with_previous(won.previous),
            store,
            service,
            roster,
            shape: None,
            demand: None,
            ways: HashMap::new(),
            members: HashSet::new(),
            strangers: HashSet::new(),
            searched_at: None,
            counted_at: None,
            looks: 0,
            unseen: HashSet::new(),
            asked: HashSet::new(),
            plan_by: None,
            known_at: StoreRevision::new(won.fence.get()),
            placement: None,
            until,
            group: won.group.clone(),
            log,
            events,
            inbox,
        }
    }

    /// Leads until a later coordinator gave orders; the caller ends it where the lease is lost.
    pub(super) async fn lead(mut self) {
        let mut look_at = Instant::now();
        self.refresh(Duration::ZERO);
        while !self.driver.is_superseded() {
            let now = Instant::now();
            if now >= look_at {
                self.look(now);
                look_at = now + self.pause();
            }
            let wake_at = self.plan_by.map_or(look_at, |at| at.min(look_at));
            tokio::select! {
                Some(event) = self.inbox.recv() => self.take(event),
                () = sleep_until(wake_at) => {}
            }
            self.act();
            look_at = look_at.min(Instant::now() + self.pause());
        }
    }

    /// Reads the registry, and the sizes of the group unless known, after `pause`.
    fn refresh(&self, pause: Duration) {
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        let service = self.shape.is_none().then(|| self.service.clone());
        tokio::spawn(async move {
            sleep(pause).await;
            let shape = match service {
                Some(service) => read_shape(&store, &service).await.unwrap_or_default(),
                None => None,
            };
            let ranks = list_ranks(&store).await.ok();
            // A coordinator that was deposed needs no more news.
            drop(events.send(LinkEvent::Listed(ranks, shape)));
        });
    }

    /// Takes what was read; a failed read leaves what is known so far.
    fn take_listing(
        &mut self,
        ranks: Option<(Vec<TargetRecord>, StoreRevision)>,
        shape: Option<ExpertShape>,
    ) {
        if let Some(shape) = shape {
            self.shape = Some(shape);
            self.demand = Some(ExpertDemand::new(shape.sets, shape.experts));
        }
        if let Some((ranks, as_of)) = ranks {
            self.known_at = self.known_at.max(as_of);
            self.roster.adopt(&ranks);
            // A group may have formed with other ranks meanwhile.
            self.strangers.clear();
        }
        let is_complete = self.driver.is_complete(Instant::now()) && self.shape.is_some();
        self.refresh(if is_complete {
            ROSTER_PAUSE
        } else {
            SEARCH_PAUSE
        });
    }

    fn pause(&self) -> Duration {
        match self.driver.phase() {
            SwitchPhase::Idle => CALM_PAUSE,
            _ => BUSY_PAUSE.max(PAUSE_PER_RANK * u32::try_from(self.members.len()).unwrap_or(1)),
        }
    }

    /// Asks the ranks of the group for their state, and those of unknown groups now and then.
    fn look(&mut self, now: Instant) {
        let count_pause = self.count_pause();
        let is_counting = self.counted_at.is_none_or(|at| now >= at + count_pause);
        if is_counting {
            self.counted_at = Some(now);
            self.looks += 1;
        }
        let is_search = self.searched_at.is_none_or(|at| now >= at + SEARCH_PAUSE);
        if is_search {
            self.searched_at = Some(now);
        }
        self.plan_by = Some(now + ANSWER_TIME);
        let stride = self.count_stride();
        let ask = ViewAsk {
            mark: self.driver.mark(self.known_at),
            has_counts: false,
            slow: self.slow_ranks(),
        };
        for (index, (rank, link)) in self.roster.links().enumerate() {
            let is_other = self.strangers.contains(rank);
            let is_known = self.members.contains(rank);
            if is_other || !(is_known || is_search) || !self.asked.insert(*rank) {
                continue;
            }
            let has_counts = is_counting && is_known && (index + self.looks).is_multiple_of(stride);
            let (rank, link, events) = (*rank, Arc::clone(link), self.events.clone());
            let ask = ViewAsk {
                has_counts,
                ..ask.clone()
            };
            tokio::spawn(async move {
                let event = match link.view(ask).await {
                    Ok(view) => {
                        let seen = SeenRank {
                            view,
                            asked_at: now,
                        };
                        LinkEvent::Seen(rank, Arc::clone(&link), seen)
                    }
                    Err(error) => LinkEvent::Unseen(rank, error),
                };
                // A coordinator that was deposed needs no more views.
                drop(events.send(event));
            });
        }
    }

    /// Addresses of the ranks that work much more slowly than usual.
    fn slow_ranks(&self) -> Vec<SocketAddr> {
        let slow = self.driver.views().filter(|view| view.is_slow());
        slow.filter_map(|view| self.ways.get(&view.rank))
            .map(|(address, _link)| *address)
            .collect()
    }

    /// Pause between two looks that read counts.
    fn count_pause(&self) -> Duration {
        let numbers = self.shape.map_or(0, |shape| shape.sets * shape.experts);
        let read = numbers * self.members.len() / self.count_stride();
        Duration::from_secs(1) * u32::try_from(read).unwrap_or(u32::MAX) / COUNTS_PER_SECOND
    }

    /// Looks among which the counts of all ranks are spread.
    fn count_stride(&self) -> usize {
        let numbers = self.shape.map_or(0, |shape| shape.sets * shape.experts);
        (numbers * self.members.len())
            .div_ceil(COUNTS_PER_LOOK)
            .max(1)
    }

    fn take(&mut self, event: LinkEvent) {
        let now = Instant::now();
        if let LinkEvent::Seen(address, ..) | LinkEvent::Unseen(address, _) = &event {
            self.asked.remove(address);
        }
        match event {
            LinkEvent::Seen(address, link, seen) if seen.view.group == self.group => {
                self.note_seen(address, None);
                self.members.insert(address);
                self.ways.insert(seen.view.rank, (address, link));
                self.driver.observe(seen.view, seen.asked_at, now);
            }
            LinkEvent::Seen(address, ..) => {
                self.strangers.insert(address);
            }
            LinkEvent::Unseen(address, error) if self.members.contains(&address) => {
                self.note_seen(address, Some(&error));
            }
            // A rank that never answered belongs to no group yet.
            LinkEvent::Unseen(..) => {}
            LinkEvent::Listed(ranks, shape) => self.take_listing(ranks, shape),
            LinkEvent::Replied(order, reply) => self.driver.reply(&order, reply, now),
        }
    }

    /// Records that a rank fell silent or answers again.
    fn note_seen(&mut self, rank: SocketAddr, error: Option<&AgentError>) {
        let is_change = match error {
            Some(_) => self.unseen.insert(rank),
            None => self.unseen.remove(&rank),
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

    fn act(&mut self) {
        let now = Instant::now();
        if self
            .until
            .as_ref()
            .is_some_and(|until| *until.borrow() <= now)
        {
            return;
        }
        // One plan for all answers of a look: planning takes longer than all of them together.
        let is_due = |by: Instant| self.asked.is_empty() || by <= now;
        if self.plan_by.is_some_and(is_due) {
            self.plan_by = None;
            self.plan(now);
        }
        for due in self.driver.pending_orders(now) {
            self.send(due);
        }
        for note in self.driver.take_events() {
            self.log.record(NodeEvent::SwitchShifted {
                group: self.group.clone(),
                phase: note.phase,
                version: note.version,
                step: note.step,
                cause: note.cause,
            });
        }
    }

    /// Begins a switch where one is worth its copies.
    fn plan(&mut self, now: Instant) {
        let Some(version) = self.driver.common_map(now) else {
            return;
        };
        self.learn_placement(version);
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
            new_per_set: shape.spare,
            new_per_rank: shape.copies_within(COPY_TIME),
            target_imbalance: LEVEL_IMBALANCE,
            min_gain: COPY_GAIN,
        };
        let slowdown: Vec<f64> = self.driver.views().map(RankView::slowdown).collect();
        let input = PlannerInput {
            placement,
            demand: demand.recent(),
            long_term: demand.long_term(),
            slowdown: &slowdown,
        };
        let change = plan_change(input, &limits);
        let Some(change) = change.filter(|it| it.before - it.after >= CHANGE_GAIN) else {
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
        let copying = shape.copy_time(change.most_copies);
        self.driver.start(Arc::new(change.placement), copying, now);
    }

    /// Remembers the placement of the common map, which ranks seen from afar do not tell.
    fn learn_placement(&mut self, version: MapVersion) {
        let generation = self.driver.views().next().map(|view| view.generation);
        let known = self.placement.as_ref();
        let is_known = known.is_some_and(|known| Some(known.0) == generation && known.1 == version);
        if is_known {
            return;
        }
        let told = self.driver.common_placement();
        let Some((generation, placement)) = generation.zip(told) else {
            return;
        };
        self.placement = Some((generation, version, placement));
    }

    fn send(&self, due: PendingOrder) {
        let Some((_address, link)) = self.ways.get(&due.rank).cloned() else {
            return;
        };
        let events = self.events.clone();
        let passed = PassedOrder {
            order: due.order.clone(),
            fence: due.fencing,
            generation: due.generation,
        };
        tokio::spawn(async move {
            let reply = match due.order {
                RankOrder::Hold { .. } | RankOrder::Go { .. } => link.order_straight(passed).await,
                _ => link.order(passed).await,
            };
            drop(events.send(LinkEvent::Replied(due, reply)));
        });
    }
}

fn percent(ratio: f64) -> u64 {
    saturating_whole((ratio * 100.0).round())
}
