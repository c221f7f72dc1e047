//! Messages between the agents of a group.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthgw_core::{FencingNumber, GroupGeneration, GroupId, MilliSpan};
use amaranthgw_fleet::gateway::{RankLoad, RankLoadReport};
use amaranthgw_groups::rebalance::{
    CoordinatorMark, MapContent, OrderReply, PendingOrder, PlacementDelta, RankOrder, RankView,
    SelectionSample,
};
use serde::{Deserialize, Serialize};

/// Path at which an agent takes a [`RelayRequest`] and answers with a [`RelayReply`].
pub(super) const RELAY_PATH: &str = "/relay";

/// A call that an agent passes on to further agents, besides answering it for its own rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelayRequest {
    /// The call.
    pub(super) call: GroupCall,
    /// Ranks whose agents get the call from this one.
    pub(super) members: Vec<SocketAddr>,
    /// Time within which the caller expects the reply.
    pub(super) time_limit: MilliSpan,
}

/// A call to the agents of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum GroupCall {
    /// Reads the state of the rank.
    View(ViewQuery),
    /// Forwards an order to the rank.
    Order(ForwardedOrder),
}

/// A coordinator's query for the state of a rank, with the data that it passes to the agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ViewQuery {
    /// Group of the coordinator; the query tells ranks of other groups nothing about theirs.
    pub(super) group: GroupId,
    /// The coordinator that sends the query.
    pub(super) mark: CoordinatorMark,
    /// Whether to include the selections of experts since the last query that did.
    pub(super) with_selections: bool,
    /// Whether to include the experts of the rank.
    pub(super) with_experts: bool,
    /// Ranks above the slowdown threshold.
    pub(super) slow: Vec<SocketAddr>,
    /// Loads of the group's ranks, which the agent tells gateways; empty if they were sent lately.
    pub(super) loads: Vec<RankLoadReport>,
}

/// An order as the coordinator sends it to agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardedOrder {
    /// What the rank should do.
    pub(super) order: RankOrder<MapContent>,
    /// Fencing token of the coordinator's lease.
    pub(super) fence: FencingNumber,
    /// Generation of the group in which the order is valid.
    pub(super) generation: GroupGeneration,
}

impl ForwardedOrder {
    /// Creates the order as sent to an agent; a placement goes whole, or as `delta` if there is one.
    pub(super) fn new(pending: &PendingOrder, delta: Option<&Arc<PlacementDelta>>) -> Self {
        let content = |_version, map| {
            Ok::<_, std::convert::Infallible>(match delta {
                Some(delta) => MapContent::Changed(Arc::clone(delta)),
                None => MapContent::Whole(map),
            })
        };
        let Ok(order) = pending.order.clone().try_map(content);
        Self {
            order,
            fence: pending.fencing,
            generation: pending.generation,
        }
    }
}

/// Replies of all agents that a [`RelayRequest`] reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelayReply {
    /// Reply of each member, by the address of its rank.
    pub(super) members: Vec<(SocketAddr, MemberReply)>,
    /// Sum of the selections of all members, if asked for.
    pub(super) selections: Option<SelectionSample>,
}

/// Reply of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum MemberReply {
    /// State and load of the rank.
    View(Box<RankView>, RankLoad),
    /// Outcome of the order.
    Order(OrderReply),
    /// The agent doesn't know the placement that the order changes.
    UnknownBase,
    /// The agent did not answer, or its rank didn't answer a query.
    Unavailable,
    /// The agent knows a later coordinator than the one that queries.
    Superseded,
}

impl RelayReply {
    /// Reply in place of agents that did not answer.
    pub(super) fn unavailable(members: &[SocketAddr]) -> Self {
        let reply = |member: &SocketAddr| (*member, MemberReply::Unavailable);
        Self {
            members: members.iter().map(reply).collect(),
            selections: None,
        }
    }

    /// Adds the replies of `other`.
    pub(super) fn merge(&mut self, other: Self) {
        self.members.extend(other.members);
        add_selections(&mut self.selections, other.selections.as_ref());
    }
}

/// Adds the selections of `other`, if any, to `sum`.
pub(super) fn add_selections(sum: &mut Option<SelectionSample>, other: Option<&SelectionSample>) {
    match (sum, other) {
        (Some(sum), Some(other)) => sum.add(other),
        (sum @ None, Some(other)) => *sum = Some(other.clone()),
        (_, None) => {}
    }
}
