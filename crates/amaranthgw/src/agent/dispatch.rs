//! Calls of a coordinator to its group: over the tree of agents, and one by one to the ranks that
//! the tree didn't reach.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_groups::rebalance::{
    OrderReply, PendingOrder, PlacementDelta, RankOrder, SelectionSample,
};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::AgentError;
use super::coordinator::CoordinatorEvent;
use super::link::{AGENT_TIMEOUT, FORWARDED_ORDER_TIMEOUT, RankReading, SharedLink};
use super::message::{ForwardedOrder, GroupCall, MemberReply, RelayReply, ViewQuery};
use super::relay::{AgentRelay, split};

/// Time for which a rank that the tree didn't reach is called directly.
const DIRECT_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit of orders that carry a whole placement: a few kilobytes for each agent of a branch.
const WHOLE_MAP_TIMEOUT: Duration = Duration::from_millis(400);

/// Ranks that one poll calls directly: their connections and answers must not use up the VM's
/// processor.
const MAX_DIRECT_QUERIES: usize = 8;
/// Agents of a branch that are tried as its first one.
const MAX_HEADS: usize = 3;

/// A rank of the group and the link that reaches it without the tree.
#[derive(Clone, Debug)]
pub(super) struct GroupMember {
    /// Address of the rank.
    pub(super) address: SocketAddr,
    /// Link to the rank.
    pub(super) link: SharedLink,
}

/// An order and the rank that it is for.
#[derive(Clone, Debug)]
pub(super) struct MemberOrder {
    pub(super) pending: PendingOrder,
    pub(super) member: GroupMember,
}

/// Sends the calls of a coordinator and returns the replies as events.
#[derive(Debug)]
pub(super) struct GroupDispatcher {
    relay: Arc<AgentRelay>,
    events: UnboundedSender<CoordinatorEvent>,
    direct_until: HashMap<SocketAddr, Instant>,
}

impl GroupDispatcher {
    /// Creates a dispatcher that sends replies to `events`.
    pub(super) fn new(relay: Arc<AgentRelay>, events: UnboundedSender<CoordinatorEvent>) -> Self {
        Self {
            relay,
            events,
            direct_until: HashMap::new(),
        }
    }

    /// Records that the tree didn't reach a rank.
    pub(super) fn record_bypass(&mut self, member: SocketAddr, now: Instant) {
        self.direct_until.insert(member, now + DIRECT_INTERVAL);
    }

    fn is_direct(&self, member: SocketAddr, now: Instant) -> bool {
        self.direct_until
            .get(&member)
            .is_some_and(|until| *until > now)
    }

    fn sender(&self) -> BranchSender {
        BranchSender {
            relay: Arc::clone(&self.relay),
            events: self.events.clone(),
        }
    }

    /// Queries one rank without the tree.
    pub(super) fn query_directly(&self, member: GroupMember, query: ViewQuery) {
        tokio::spawn(self.sender().query_directly(member, query));
    }

    /// Queries the ranks of `members` over the tree, in the order given. Returns the ranks that were
    /// left out, as the tree didn't reach them lately and enough others are called directly.
    pub(super) fn query(
        &self,
        members: Vec<GroupMember>,
        query: &ViewQuery,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let (mut direct, relayed): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|member| self.is_direct(member.address, now));
        let left_out = direct.split_off(direct.len().min(MAX_DIRECT_QUERIES));
        for member in direct {
            self.query_directly(member, query.clone());
        }
        for branch in split(&relayed) {
            let (branch, query) = (branch.to_vec(), query.clone());
            tokio::spawn(self.sender().query_branch(branch, query, now));
        }
        left_out.iter().map(|member| member.address).collect()
    }

    /// Sends one rank an order without the tree and without its agent.
    pub(super) fn order_directly(&self, order: MemberOrder) {
        tokio::spawn(self.sender().order_directly(order));
    }

    /// Sends the same order to several ranks, which are in order; a placement goes as `delta` if
    /// there is one.
    pub(super) fn order(
        &self,
        orders: Vec<MemberOrder>,
        delta: Option<&Arc<PlacementDelta>>,
        now: Instant,
    ) {
        let (direct, relayed): (Vec<_>, Vec<_>) = orders
            .into_iter()
            .partition(|order| self.is_direct(order.member.address, now));
        for order in direct {
            tokio::spawn(self.sender().order_through_agent(order));
        }
        for branch in split(&relayed) {
            let (branch, delta) = (branch.to_vec(), delta.cloned());
            tokio::spawn(self.sender().order_branch(branch, delta));
        }
    }
}

/// Sends calls to one branch of the tree.
#[derive(Clone, Debug)]
struct BranchSender {
    relay: Arc<AgentRelay>,
    events: UnboundedSender<CoordinatorEvent>,
}

impl BranchSender {
    fn emit(&self, event: CoordinatorEvent) {
        // Fails only once the coordinator has ended.
        drop(self.events.send(event));
    }

    /// Queries a branch; one whose first agent is silent is queried from its next agent on.
    async fn query_branch(self, mut branch: Vec<GroupMember>, query: ViewQuery, now: Instant) {
        let call = GroupCall::View(query.clone());
        for _ in 0..MAX_HEADS {
            let addresses = addresses(&branch);
            let reply = self.relay.call_branch(&call, &addresses, AGENT_TIMEOUT);
            if let Ok(reply) = reply.await {
                self.emit_views(branch, reply, &query, now);
                return;
            }
            let head = branch.remove(0);
            self.emit(CoordinatorEvent::Bypassed(head.address));
            tokio::spawn(self.clone().query_directly(head, query.clone()));
            if branch.is_empty() {
                return;
            }
        }
        for member in branch {
            let error = AgentError::RankUnavailable;
            self.emit(CoordinatorEvent::Unanswered(member.address, error));
        }
    }

    fn emit_views(
        &self,
        branch: Vec<GroupMember>,
        reply: RelayReply,
        query: &ViewQuery,
        now: Instant,
    ) {
        let (mut replies, selections) = by_member(reply);
        if let Some(selections) = selections {
            self.emit(CoordinatorEvent::Counted(selections));
        }
        for member in branch {
            match replies.remove(&member.address) {
                Some(MemberReply::View(view, load)) => {
                    let reading = RankReading {
                        view: *view,
                        requested_at: now,
                        is_current: true,
                        load: Some(load),
                        selections: None,
                    };
                    self.emit(CoordinatorEvent::Observed(member, reading));
                }
                Some(MemberReply::Superseded) => self.emit(CoordinatorEvent::Superseded),
                _ => {
                    self.emit(CoordinatorEvent::Bypassed(member.address));
                    tokio::spawn(self.clone().query_directly(member, query.clone()));
                }
            }
        }
    }

    async fn query_directly(self, member: GroupMember, query: ViewQuery) {
        let event = match member.link.view(query).await {
            Ok(reading) => CoordinatorEvent::Observed(member, reading),
            Err(AgentError::Superseded) => CoordinatorEvent::Superseded,
            Err(error) => CoordinatorEvent::Unanswered(member.address, error),
        };
        self.emit(event);
    }

    /// Sends an order to a branch; a placement goes whole to the agents that don't know the one that
    /// `delta` changes.
    async fn order_branch(self, branch: Vec<MemberOrder>, delta: Option<Arc<PlacementDelta>>) {
        let unknown = self.try_order_branch(branch, delta.as_ref()).await;
        if !unknown.is_empty() {
            self.try_order_branch(unknown, None).await;
        }
    }

    /// Sends an order to a branch, from its next agent on if the first one is silent. Returns the
    /// orders of the ranks whose agents don't know the placement that `delta` changes.
    async fn try_order_branch(
        &self,
        mut branch: Vec<MemberOrder>,
        delta: Option<&Arc<PlacementDelta>>,
    ) -> Vec<MemberOrder> {
        for _ in 0..MAX_HEADS {
            let Some(first) = branch.first() else {
                return Vec::new();
            };
            let is_map = matches!(first.pending.order, RankOrder::Prepare { .. });
            let time_limit = if is_map && delta.is_none() {
                WHOLE_MAP_TIMEOUT
            } else {
                FORWARDED_ORDER_TIMEOUT
            };
            let call = GroupCall::Order(ForwardedOrder::new(&first.pending, delta));
            let members = branch.iter().map(|order| order.member.address);
            let members: Vec<SocketAddr> = members.collect();
            let reply = self.relay.call_branch(&call, &members, time_limit).await;
            if let Ok(reply) = reply {
                return self.emit_replies(branch, reply, delta.is_some());
            }
            self.bypass(branch.remove(0));
        }
        for order in branch {
            self.emit_reply(order.pending, OrderReply::Unanswered);
        }
        Vec::new()
    }

    /// Emits the replies to an order; returns the orders for which a base is missing.
    fn emit_replies(
        &self,
        branch: Vec<MemberOrder>,
        reply: RelayReply,
        has_base: bool,
    ) -> Vec<MemberOrder> {
        let (mut replies, _no_selections) = by_member(reply);
        let mut unknown = Vec::new();
        for order in branch {
            match replies.remove(&order.member.address) {
                Some(MemberReply::Order(reply)) => self.emit_reply(order.pending, reply),
                Some(MemberReply::UnknownBase) if has_base => unknown.push(order),
                _ => self.bypass(order),
            }
        }
        unknown
    }

    /// Sends an order to a rank that the tree doesn't reach.
    fn bypass(&self, order: MemberOrder) {
        self.emit(CoordinatorEvent::Bypassed(order.member.address));
        tokio::spawn(self.clone().order_through_agent(order));
    }

    async fn order_through_agent(self, order: MemberOrder) {
        let reply = order.member.link.order(order.pending.clone()).await;
        self.emit_reply(order.pending, reply);
    }

    async fn order_directly(self, order: MemberOrder) {
        let reply = order.member.link.order_directly(order.pending.clone());
        let reply = reply.await;
        self.emit_reply(order.pending, reply);
    }

    fn emit_reply(&self, pending: PendingOrder, reply: OrderReply) {
        self.emit(CoordinatorEvent::Replied(pending, reply));
    }
}

fn addresses(members: &[GroupMember]) -> Vec<SocketAddr> {
    members.iter().map(|member| member.address).collect()
}

type MemberReplies = (HashMap<SocketAddr, MemberReply>, Option<SelectionSample>);

fn by_member(reply: RelayReply) -> MemberReplies {
    (reply.members.into_iter().collect(), reply.selections)
}
