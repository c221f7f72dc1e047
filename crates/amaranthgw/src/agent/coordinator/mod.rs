//! Coordinator of one rank group: polls its ranks, plans placements and drives map switches.

mod plans;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{GroupId, RankId, ServiceId, StoreRevision};
use amaranthgw_fleet::gateway::{ExpertShape, TargetRecord};
use amaranthgw_groups::rebalance::{
    ExpertDemand, OrderReply, PendingOrder, RankOrder, SelectionSample, SwitchDriver, SwitchPhase,
    ViewTime,
};
use amaranthgw_platform::store::PlatformStore;
use compact_str::ToCompactString;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::AgentError;
use super::dispatch::{GroupDispatcher, GroupMember, MemberOrder};
use super::election::HeldLease;
use super::known_map::{KnownMap, StartedSwitch};
use super::link::{RankReading, SharedLink};
use super::loads::GatheredLoads;
use super::message::{ViewQuery, add_selections};
use super::roster::{RankRoster, confirm_key, list_targets, read_shape};
use crate::telemetry::{EventLog, NodeEvent, record_switch};

/// Interval between polls of all ranks while no switch is in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between polls while weights are copied or a switch settles.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between polls that read the selections of experts.
const SELECTION_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for the replies to a poll, several usual round trips; then a plan is made from those
/// that arrived.
const POLL_REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between reads of the registry while ranks are missing.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of the registry once all ranks are found.
const ROSTER_REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Age that a rank's report to another VM can have while the configuration is not known.
const UNKNOWN_REPORT_AGE: Duration = Duration::from_secs(1);

/// Result of a call that the coordinator started.
#[derive(Debug)]
pub(super) enum CoordinatorEvent {
    /// The rank replied to a query.
    Observed(GroupMember, RankReading),
    /// The rank at the address did not reply.
    Unanswered(SocketAddr, AgentError),
    /// An agent knows a later coordinator.
    Superseded,
    /// The tree of agents didn't reach the rank at the address, which is then called directly.
    Bypassed(SocketAddr),
    /// Selections of some ranks since they were last read.
    Counted(SelectionSample),
    /// The registered targets and the expert shape; `None` for what was not read or could not be.
    Listed(Option<Vec<TargetRecord>>, Option<ExpertShape>),
    /// The key of the lease was as it was written, as of a revision.
    Confirmed(StoreRevision),
    /// A rank replied to an order.
    Replied(PendingOrder, OrderReply),
}

/// Coordinator of a group, for one term of its lease.
pub(super) struct GroupCoordinator {
    store: Arc<PlatformStore>,
    service: ServiceId,
    roster: RankRoster,
    driver: SwitchDriver,
    dispatcher: GroupDispatcher,
    /// Expert shape of the service: its expert sets and how many experts a rank can hold.
    shape: Option<ExpertShape>,
    demand: Option<ExpertDemand>,
    /// Selections that the demand doesn't contain yet.
    selections: Option<SelectionSample>,
    /// Last known address of each rank of this group, and the link to it.
    rank_links: HashMap<RankId, (SocketAddr, SharedLink)>,
    /// Addresses of the ranks of this group, each with its rank.
    members: HashMap<SocketAddr, RankId>,
    /// Addresses of the ranks of the service's other groups.
    other_group_ranks: HashSet<SocketAddr>,
    last_discovery_at: Option<Instant>,
    /// Whether to poll at once, for ranks that may have been found.
    is_poll_due: bool,
    /// Time of the last poll that read the selections of experts.
    counted_at: Option<Instant>,
    /// Ranks of the group that did not reply to their last query.
    silent: HashSet<SocketAddr>,
    /// Ranks whose reply to a query is outstanding.
    awaiting_reply: HashSet<SocketAddr>,
    /// Time at which to plan even if replies are missing.
    plan_deadline: Option<Instant>,
    /// Revision at which the key of the lease was written.
    written: StoreRevision,
    /// Latest store revision at which the key was seen as it was written. It goes into each query, so that
    /// the next coordinator can check in the store whether another one held the lease since.
    known_revision: StoreRevision,
    /// The map in use.
    known_map: Option<KnownMap>,
    loads: GatheredLoads,
    started: Option<StartedSwitch>,
    /// End of the lease; `None` if orders are fenced, as ranks then refuse late orders themselves.
    lease_end: Option<watch::Receiver<Instant>>,
    group: GroupId,
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
            dispatcher: GroupDispatcher::new(Arc::clone(roster.relay()), events.clone()),
            store,
            service,
            roster,
            shape: None,
            demand: None,
            selections: None,
            rank_links: HashMap::new(),
            members: HashMap::new(),
            other_group_ranks: HashSet::new(),
            last_discovery_at: None,
            is_poll_due: false,
            counted_at: None,
            silent: HashSet::new(),
            awaiting_reply: HashSet::new(),
            plan_deadline: None,
            written: held.written,
            known_revision: held.written,
            known_map: None,
            loads: GatheredLoads::default(),
            started: None,
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
            if now >= poll_at || self.is_poll_due {
                self.poll_ranks(now);
                poll_at = now + self.poll_interval();
            }
            let wake_at = self.plan_deadline.map_or(poll_at, |at| at.min(poll_at));
            tokio::select! {
                Some(event) = self.inbox.recv() => self.handle_event(event),
                () = sleep_until(wake_at) => {}
            }
            // Replies arrive in batches; they are applied together.
            while let Ok(event) = self.inbox.try_recv() {
                self.handle_event(event);
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
    fn apply_listing(&mut self, ranks: Option<Vec<TargetRecord>>, shape: Option<ExpertShape>) {
        if let Some(shape) = shape {
            self.shape = Some(shape);
            self.demand = Some(ExpertDemand::new(shape.sets, shape.experts));
        }
        let is_complete = self.driver.is_complete(Instant::now()) && self.shape.is_some();
        if let Some(ranks) = ranks {
            self.roster.adopt(&ranks);
            self.is_poll_due |= !is_complete;
            if !is_complete {
                // A missing rank may be one that was in another group before.
                self.other_group_ranks.clear();
            }
        }
        if is_complete {
            self.confirm_lease();
            self.refresh(ROSTER_REFRESH_INTERVAL);
        } else {
            self.refresh(DISCOVERY_INTERVAL);
        }
    }

    /// Reads the key of the lease: a coordinator that doesn't know yet that its lease has ended must not tell
    /// others that it held it until now.
    fn confirm_lease(&self) {
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        let (group, written) = (self.group.clone(), self.written);
        tokio::spawn(async move {
            if let Some(as_of) = confirm_key(&store, &group, written).await {
                // Fails only once the coordinator has ended.
                drop(events.send(CoordinatorEvent::Confirmed(as_of)));
            }
        });
    }

    fn poll_interval(&self) -> Duration {
        match self.driver.phase() {
            SwitchPhase::Idle if !self.driver.has_leftovers() => IDLE_POLL_INTERVAL,
            _ => SWITCH_POLL_INTERVAL,
        }
    }

    /// Queries the state of the group's ranks and, once per discovery interval, of ranks whose group
    /// is unknown.
    fn poll_ranks(&mut self, now: Instant) {
        let is_counting = is_due(self.counted_at, SELECTION_INTERVAL, now);
        if is_counting {
            self.counted_at = Some(now);
        }
        let is_discovery = std::mem::take(&mut self.is_poll_due)
            || is_due(self.last_discovery_at, DISCOVERY_INTERVAL, now);
        if is_discovery {
            self.last_discovery_at = Some(now);
        }
        self.plan_deadline = Some(now + POLL_REPLY_TIMEOUT);
        let query = ViewQuery {
            group: self.group.clone(),
            mark: self.driver.mark(self.known_revision),
            with_selections: is_counting,
            with_experts: !self.is_map_known(),
            slow: self.slow_ranks(),
            loads: self.loads.share(now),
        };
        let (mut members, mut strangers) = (Vec::new(), Vec::new());
        for (address, link) in self.roster.links() {
            let member = GroupMember {
                address: *address,
                link: Arc::clone(link),
            };
            let rank = self.members.get(address).copied();
            let is_skipped =
                rank.is_none() && (!is_discovery || self.other_group_ranks.contains(address));
            if is_skipped || !self.awaiting_reply.insert(*address) {
                continue;
            }
            match rank {
                _ if *address == self.roster.local_address() => {
                    self.dispatcher.query_directly(member, query.clone());
                }
                Some(rank) => members.push((rank, member)),
                None => strangers.push(member),
            }
        }
        members.sort_by_key(|(rank, _)| *rank);
        strangers.sort_by_key(|member| member.address);
        let members = members.into_iter().map(|(_, member)| member).collect();
        for members in [members, strangers] {
            for left_out in self.dispatcher.query(members, &query, now) {
                self.awaiting_reply.remove(&left_out);
            }
        }
    }

    /// Whether the placement of the map in use is known.
    fn is_map_known(&self) -> bool {
        let view = self.driver.views().next();
        let known = |it: &KnownMap| view.map(|view| (view.generation, view.map)) == Some(it.key());
        self.known_map.as_ref().is_some_and(known)
            || self.started.as_ref().is_some_and(|it| known(&it.map))
    }

    /// Addresses of the ranks above the slowdown threshold.
    fn slow_ranks(&self) -> Vec<SocketAddr> {
        let slow = self.driver.views().filter(|view| view.is_slow());
        slow.filter_map(|view| self.rank_links.get(&view.rank))
            .map(|(address, _link)| *address)
            .collect()
    }

    fn handle_event(&mut self, event: CoordinatorEvent) {
        let now = Instant::now();
        match event {
            CoordinatorEvent::Observed(member, reading) => {
                self.awaiting_reply.remove(&member.address);
                self.observe(member, reading, now);
            }
            CoordinatorEvent::Unanswered(address, error) => {
                self.awaiting_reply.remove(&address);
                // The group of a rank that never replied is unknown.
                if self.members.contains_key(&address) {
                    self.record_reachability(address, Some(&error));
                }
            }
            CoordinatorEvent::Superseded => self.driver.supersede(),
            CoordinatorEvent::Bypassed(address) => self.dispatcher.record_bypass(address, now),
            CoordinatorEvent::Counted(selections) => {
                add_selections(&mut self.selections, Some(&selections));
            }
            CoordinatorEvent::Listed(ranks, shape) => self.apply_listing(ranks, shape),
            CoordinatorEvent::Confirmed(as_of) => {
                self.known_revision = self.known_revision.max(as_of);
            }
            CoordinatorEvent::Replied(order, reply) => self.driver.reply(&order, reply, now),
        }
    }

    fn observe(&mut self, member: GroupMember, reading: RankReading, now: Instant) {
        let time = self.view_time(&reading);
        let RankReading {
            view,
            requested_at,
            load,
            selections,
            ..
        } = reading;
        if view.group != self.group {
            self.members.remove(&member.address);
            self.other_group_ranks.insert(member.address);
            return;
        }
        self.record_reachability(member.address, None);
        add_selections(&mut self.selections, selections.as_ref());
        self.loads.record(member.address, load, requested_at);
        self.members.insert(member.address, view.rank);
        self.rank_links
            .insert(view.rank, (member.address, member.link));
        self.driver.observe(view, time, now);
    }

    /// How old the state in a reading can be.
    fn view_time(&self, reading: &RankReading) -> ViewTime {
        let time = ViewTime::new(reading.requested_at);
        if reading.is_current {
            return time;
        }
        let age = self.shape.map(|shape| shape.max_report_age());
        time.with_max_age(age.unwrap_or(UNKNOWN_REPORT_AGE))
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
            self.observe_demand(now);
            self.plan(now);
        }
        let pending = self.driver.pending_orders(now);
        self.send(pending, now);
        self.record_events(now);
    }

    fn record_events(&mut self, now: Instant) {
        for event in self.driver.take_events() {
            self.log.record(NodeEvent::SwitchShifted {
                group: self.group.clone(),
                phase: event.phase,
                version: event.version,
                step: event.step,
                cause: event.cause,
            });
            let Some(started) = self.started.as_mut() else {
                continue;
            };
            let outcome = started
                .report
                .as_mut()
                .and_then(|report| report.record(&event, now));
            if let Some(outcome) = outcome {
                started.report = None;
                record_switch(outcome.cause, outcome.total, outcome.held);
                self.log.record(NodeEvent::SwitchEnded {
                    group: self.group.clone(),
                    version: started.map.version,
                    cause: outcome.cause,
                    total_ms: millis(outcome.total),
                    preparing_ms: millis(outcome.preparing),
                    held_ms: millis(outcome.held),
                    settling_ms: millis(outcome.settling),
                });
            }
        }
    }

    /// Sends orders, those that are alike over the tree of agents.
    fn send(&self, pending: Vec<PendingOrder>, now: Instant) {
        let mut batches: Vec<Vec<MemberOrder>> = Vec::new();
        for pending in pending {
            let Some((address, link)) = self.rank_links.get(&pending.rank).cloned() else {
                continue;
            };
            let order = MemberOrder {
                pending,
                member: GroupMember { address, link },
            };
            let is_urgent = matches!(
                order.pending.order,
                RankOrder::Hold { .. } | RankOrder::Go { .. }
            );
            if is_urgent || address == self.roster.local_address() {
                self.dispatcher.order_directly(order);
                continue;
            }
            let is_alike = |batch: &&mut Vec<MemberOrder>| {
                let first = batch.first().map(|first| &first.pending);
                first.is_some_and(|first| {
                    (&first.order, first.generation)
                        == (&order.pending.order, order.pending.generation)
                })
            };
            match batches.iter_mut().find(is_alike) {
                Some(batch) => batch.push(order),
                None => batches.push(vec![order]),
            }
        }
        for batch in batches {
            let delta = self.delta_for(&batch);
            self.dispatcher.order(batch, delta, now);
        }
    }
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|at| now >= at + interval)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
