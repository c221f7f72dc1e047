//! Links to a rank: local, through its agent, or directly over the network.

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

use super::experts::ExpertCache;
use super::local_rank::LocalRank;
use super::{AgentError, Result};

/// Path at which an agent reports the state of its rank; the query string is a [`ViewQuery`].
pub(super) const RANK_PATH: &str = "/rank";
/// Path at which an agent reports the state of its rank's group to gateways.
pub(crate) const GROUP_PATH: &str = "/group";
/// Path at which an agent accepts an order for its rank.
pub(super) const ORDER_PATH: &str = "/order";
/// Time limit of a query to another agent: several round trips to it and its rank.
const AGENT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit of an order from an agent to its rank: about ten usual round trips, as a rank may
/// leave an order unanswered.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(40);
/// Time limit of an order through an agent, or directly to a remote rank.
const FORWARDED_ORDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit of a query sent directly to a remote rank.
const REMOTE_RANK_TIMEOUT: Duration = Duration::from_millis(250);

/// A coordinator's query for the state of a rank, with the data that it passes to the agent.
#[derive(Clone, Debug)]
pub(super) struct ViewQuery {
    /// The coordinator that sends the query.
    pub(super) mark: CoordinatorMark,
    /// Whether to include the expert counts, which make up most of a reply.
    pub(super) with_counts: bool,
    /// Ranks above the slowdown threshold.
    pub(super) slow: Vec<SocketAddr>,
}

/// Suffix of a query that includes the expert counts.
const COUNTS_SUFFIX: &str = "+counts";
/// Separator before each slow rank.
const SLOW_SEPARATOR: &str = "+slow-";

impl std::fmt::Display for ViewQuery {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.mark.fmt(f)?;
        for rank in &self.slow {
            write!(f, "{SLOW_SEPARATOR}{rank}")?;
        }
        f.write_str(if self.with_counts { COUNTS_SUFFIX } else { "" })
    }
}

impl std::str::FromStr for ViewQuery {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let rest = text.strip_suffix(COUNTS_SUFFIX);
        let mut parts = rest.unwrap_or(text).split(SLOW_SEPARATOR);
        Ok(Self {
            mark: parts.next().unwrap_or_default().parse()?,
            with_counts: rest.is_some(),
            // An unparsable rank is skipped: the list only affects the choice of targets.
            slow: parts.filter_map(|rank| rank.parse().ok()).collect(),
        })
    }
}

/// An order as the coordinator sends it through another agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ForwardedOrder {
    /// What the rank should do.
    pub(super) order: RankOrder,
    /// Fencing token of the coordinator's lease.
    pub(super) fence: FencingNumber,
    /// Generation of the group in which the order is valid.
    pub(super) generation: GroupGeneration,
}

/// Connection to one rank.
pub(super) trait RankLink: std::fmt::Debug + Send + Sync {
    /// Reads the state of the rank.
    ///
    /// The query selects the contents and carries data for the rank's agent.
    fn view(&self, query: ViewQuery) -> BoxFuture<'_, Result<RankView>>;

    /// Sends the rank an order.
    fn order(&self, order: ForwardedOrder) -> BoxFuture<'_, OrderReply>;

    /// Sends an order straight to the rank, not through its agent: on a stalled VM, the agent would
    /// add its own delay. The link to the rank on this VM always does so.
    fn order_directly(&self, order: ForwardedOrder) -> BoxFuture<'_, OrderReply>;
}

impl RankLink for LocalRank {
    fn view(&self, query: ViewQuery) -> BoxFuture<'_, Result<RankView>> {
        Box::pin(self.read(query.with_counts))
    }

    fn order(&self, order: ForwardedOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(self.forward_order(order))
    }

    fn order_directly(&self, order: ForwardedOrder) -> BoxFuture<'_, OrderReply> {
        self.order(order)
    }
}

/// A rank on another VM, reached through its agent, or directly while the agent doesn't reply.
#[derive(Debug)]
pub(super) struct RemoteRank {
    agent: PooledClient,
    rank: RankClient,
    experts: ExpertCache,
}

impl RemoteRank {
    /// Creates the link to the rank at `rank`, whose agent listens at `agent`.
    pub(super) fn new(agent: SocketAddr, rank: SocketAddr) -> Self {
        Self {
            agent: PooledClient::new(agent, DialSettings::new(AGENT_TIMEOUT)),
            rank: RankClient::new(rank),
            experts: ExpertCache::default(),
        }
    }

    async fn view_through_agent(&self, query: ViewQuery) -> Result<RankView> {
        let path = format!("{RANK_PATH}?{query}");
        let called = self
            .agent
            .call(Method::GET, &path, Bytes::new(), AGENT_TIMEOUT);
        let reply = called.await?;
        if reply.status != StatusCode::OK {
            return Err(AgentError::RankUnavailable);
        }
        Ok(serde_json::from_slice(&reply.body)?)
    }

    async fn order_through_agent(&self, order: &ForwardedOrder) -> Result<OrderReply> {
        let body = Bytes::from(serde_json::to_vec(order)?);
        let called = self
            .agent
            .call(Method::POST, ORDER_PATH, body, FORWARDED_ORDER_TIMEOUT);
        Ok(serde_json::from_slice(&called.await?.body)?)
    }
}

impl RankLink for RemoteRank {
    fn view(&self, query: ViewQuery) -> BoxFuture<'_, Result<RankView>> {
        Box::pin(async move {
            match self.view_through_agent(query).await {
                Ok(view) => Ok(view),
                // Without counts: reading them over the network would make the whole group pause.
                Err(_agent_down) => {
                    let report = self.rank.report(REMOTE_RANK_TIMEOUT).await?;
                    let mut view = report.ok_or(AgentError::NoGroup)?;
                    self.experts.fill(&self.rank, &mut view).await?;
                    Ok(view)
                }
            }
        })
    }

    fn order(&self, order: ForwardedOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(async move {
            match self.order_through_agent(&order).await {
                Ok(reply) => reply,
                Err(_agent_down) => self.order_directly(order).await,
            }
        })
    }

    fn order_directly(&self, order: ForwardedOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(async move {
            let ForwardedOrder {
                order,
                fence,
                generation,
            } = order;
            self.rank
                .order(&order, fence, generation, FORWARDED_ORDER_TIMEOUT)
                .await
        })
    }
}

/// Time limit of a query to the rank on this VM, and of reading the experts of any rank.
pub(super) const LOCAL_RANK_TIMEOUT: Duration = Duration::from_millis(150);

/// A shared link to a rank.
pub(super) type SharedLink = Arc<dyn RankLink>;
