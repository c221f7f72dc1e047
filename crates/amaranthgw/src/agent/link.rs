//! Ways to a rank: beside this process, through its agent, or straight from afar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{FencingNumber, GroupGeneration, ParseError};
use amaranthgw_groups::rebalance::{CoordinatorMark, OrderReply, RankOrder, RankView};
use amaranthgw_net::{DialSettings, PooledClient};
use amaranthgw_platform::rank::RankClient;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::beside::RankBeside;
use super::experts::KnownExperts;
use super::{AgentError, Result};

/// Path at which an agent tells the state of its rank; the query is a [`ViewAsk`].
pub(super) const RANK_PATH: &str = "/rank";
/// Path at which an agent tells gateways the state of its rank's group.
pub(crate) const GROUP_PATH: &str = "/group";
/// Path at which an agent takes an order for its rank.
pub(super) const ORDER_PATH: &str = "/order";
/// Longest wait for another agent: some times the way to it and its rank.
const AGENT_LIMIT: Duration = Duration::from_millis(250);
/// Longest wait of an agent for its rank's answer to an order, which a rank may also leave
/// unanswered: some ten times the usual wait.
pub(super) const ORDER_LIMIT: Duration = Duration::from_millis(40);
/// Longest wait for an agent that passes an order on.
const PASSED_ORDER_LIMIT: Duration = Duration::from_millis(100);
/// Longest wait for a rank that is asked from afar.
const FAR_LIMIT: Duration = Duration::from_millis(250);

/// What a coordinator asks of a rank, and tells its agent.
#[derive(Clone, Debug)]
pub(super) struct ViewAsk {
    /// What the agent should know of the coordinator.
    pub(super) mark: CoordinatorMark,
    /// Whether the counts of experts are wanted, which make up most of an answer.
    pub(super) has_counts: bool,
    /// Ranks that work much more slowly than usual.
    pub(super) slow: Vec<SocketAddr>,
}

/// Marks a question for counts.
const COUNTS: &str = "+counts";
/// Precedes each slow rank.
const SLOW: &str = "+slow-";

impl std::fmt::Display for ViewAsk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.mark.fmt(f)?;
        for rank in &self.slow {
            write!(f, "{SLOW}{rank}")?;
        }
        f.write_str(if self.has_counts { COUNTS } else { "" })
    }
}

impl std::str::FromStr for ViewAsk {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let rest = text.strip_suffix(COUNTS);
        let mut parts = rest.unwrap_or(text).split(SLOW);
        Ok(Self {
            mark: parts.next().unwrap_or_default().parse()?,
            has_counts: rest.is_some(),
            // A rank that can't be read is left out: it only matters to the choice of targets.
            slow: parts.filter_map(|rank| rank.parse().ok()).collect(),
        })
    }
}

/// An order as one agent passes it to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PassedOrder {
    /// The order.
    pub(super) order: RankOrder,
    /// Number of the coordinator's lease.
    pub(super) fence: FencingNumber,
    /// Generation of the group in which it holds.
    pub(super) generation: GroupGeneration,
}

/// A way to one rank.
pub(super) trait RankLink: std::fmt::Debug + Send + Sync {
    /// State of the rank.
    ///
    /// `ask` says what its agent should know and tell.
    fn view(&self, ask: ViewAsk) -> BoxFuture<'_, Result<RankView>>;

    /// Gives the rank an order.
    fn order(&self, order: PassedOrder) -> BoxFuture<'_, OrderReply>;

    /// Gives the rank an order without its agent, which may be held up with the VM that the order
    /// comes through.
    fn order_straight(&self, order: PassedOrder) -> BoxFuture<'_, OrderReply>;
}

impl RankLink for RankBeside {
    fn view(&self, ask: ViewAsk) -> BoxFuture<'_, Result<RankView>> {
        Box::pin(self.read(ask.has_counts))
    }

    fn order(&self, order: PassedOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(self.pass_on(order))
    }

    fn order_straight(&self, order: PassedOrder) -> BoxFuture<'_, OrderReply> {
        self.order(order)
    }
}

/// A rank on another VM: through its agent, or straight while the agent does not answer.
#[derive(Debug)]
pub(super) struct FarRank {
    agent: PooledClient,
    rank: RankClient,
    experts: KnownExperts,
}

impl FarRank {
    /// Creates the way to the rank at `rank`, whose agent listens at `agent`.
    pub(super) fn new(agent: SocketAddr, rank: SocketAddr) -> Self {
        Self {
            agent: PooledClient::new(agent, DialSettings::new(AGENT_LIMIT)),
            rank: RankClient::new(rank),
            experts: KnownExperts::default(),
        }
    }

    async fn view_by_agent(&self, ask: ViewAsk) -> Result<RankView> {
        let path = format!("{RANK_PATH}?{ask}");
        let called = self
            .agent
            .call(Method::GET, &path, Bytes::new(), AGENT_LIMIT);
        let reply = called.await?;
        if reply.status != StatusCode::OK {
            return Err(AgentError::RankUnavailable);
        }
        Ok(serde_json::from_slice(&reply.body)?)
    }

    async fn order_by_agent(&self, order: &PassedOrder) -> Result<OrderReply> {
        let body = Bytes::from(serde_json::to_vec(order)?);
        let called = self
            .agent
            .call(Method::POST, ORDER_PATH, body, PASSED_ORDER_LIMIT);
        Ok(serde_json::from_slice(&called.await?.body)?)
    }
}

impl RankLink for FarRank {
    fn view(&self, ask: ViewAsk) -> BoxFuture<'_, Result<RankView>> {
        Box::pin(async move {
            match self.view_by_agent(ask).await {
                Ok(view) => Ok(view),
                // Counts are left out: from afar they make the whole group pause.
                Err(_agent_down) => {
                    let report = self.rank.report(FAR_LIMIT).await?;
                    let mut view = report.ok_or(AgentError::NoGroup)?;
                    self.experts.complete(&self.rank, &mut view).await?;
                    Ok(view)
                }
            }
        })
    }

    fn order(&self, order: PassedOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(async move {
            match self.order_by_agent(&order).await {
                Ok(reply) => reply,
                Err(_agent_down) => self.order_straight(order).await,
            }
        })
    }

    fn order_straight(&self, order: PassedOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(async move {
            let PassedOrder {
                order,
                fence,
                generation,
            } = order;
            self.rank
                .order(&order, fence, generation, PASSED_ORDER_LIMIT)
                .await
        })
    }
}

/// Longest wait for the state of the rank beside this process.
pub(super) const BESIDE_LIMIT: Duration = Duration::from_millis(150);

/// A shared way to a rank.
pub(super) type SharedLink = Arc<dyn RankLink>;
