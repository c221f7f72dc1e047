//! Links to a rank: local, through its agent, or directly over the network.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_fleet::gateway::RankLoad;
use amaranthgw_groups::rebalance::{OrderReply, PendingOrder, RankView, SelectionSample};
use amaranthgw_platform::rank::RankClient;
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use super::experts::ExpertCache;
use super::local_rank::LocalRank;
use super::message::{ForwardedOrder, GroupCall, MemberReply, ViewQuery};
use super::relay::AgentRelay;
use super::{AgentError, Result};

/// Path at which an agent reports the state of its rank's group to gateways.
pub(crate) const GROUP_PATH: &str = "/group";
/// Time limit of a query to other agents: several round trips to them and their ranks.
pub(super) const AGENT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit of an order from an agent to its rank: about ten usual round trips, as a rank may
/// leave an order unanswered.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(40);
/// Time limit of an order through agents, or directly to a remote rank.
pub(super) const FORWARDED_ORDER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit of a query sent directly to a remote rank.
const REMOTE_RANK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit of a query to the rank on this VM, and of reading the experts of any rank.
pub(super) const LOCAL_RANK_TIMEOUT: Duration = Duration::from_millis(150);

/// Answer of a rank to a [`ViewQuery`].
#[derive(Clone, Debug)]
pub(super) struct RankReading {
    /// State of the rank.
    pub(super) view: RankView,
    /// When the rank or its agent was asked.
    pub(super) requested_at: Instant,
    /// Whether its agent read it; readers on other VMs get an old state.
    pub(super) is_current: bool,
    /// Load of the rank; `None` unless current.
    pub(super) load: Option<RankLoad>,
    /// Selections of experts since the last query for them, if asked for and known.
    pub(super) selections: Option<SelectionSample>,
}

/// Connection to one rank.
pub(super) trait RankLink: std::fmt::Debug + Send + Sync {
    /// Reads the state of the rank.
    ///
    /// The query selects the contents and carries data for the rank's agent.
    fn view(&self, query: ViewQuery) -> BoxFuture<'_, Result<RankReading>>;

    /// Sends the rank an order, with the whole placement of a map.
    fn order(&self, pending: PendingOrder) -> BoxFuture<'_, OrderReply>;

    /// Sends an order straight to the rank, not through its agent: on a stalled VM, the agent would
    /// add its own delay. The link to the rank on this VM always does so.
    fn order_directly(&self, pending: PendingOrder) -> BoxFuture<'_, OrderReply>;
}

/// A shared link to a rank.
pub(super) type SharedLink = Arc<dyn RankLink>;

impl RankLink for LocalRank {
    fn view(&self, query: ViewQuery) -> BoxFuture<'_, Result<RankReading>> {
        Box::pin(async move { self.read(&query).await })
    }

    fn order(&self, pending: PendingOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(async move {
            match self
                .forward_order(ForwardedOrder::new(&pending, None))
                .await
            {
                MemberReply::Order(reply) => reply,
                // A whole placement needs no base.
                _ => OrderReply::Unanswered,
            }
        })
    }

    fn order_directly(&self, pending: PendingOrder) -> BoxFuture<'_, OrderReply> {
        self.order(pending)
    }
}

/// A rank on another VM, reached through its agent, or directly while the agent doesn't reply.
#[derive(Debug)]
pub(super) struct RemoteRank {
    relay: Arc<AgentRelay>,
    address: SocketAddr,
    rank: RankClient,
    experts: ExpertCache,
}

impl RemoteRank {
    /// Creates the link to the rank at `address`, with its agent reached over `relay`.
    pub(super) fn new(relay: Arc<AgentRelay>, address: SocketAddr) -> Self {
        Self {
            relay,
            address,
            rank: RankClient::new(address),
            experts: ExpertCache::default(),
        }
    }

    /// Calls the rank's agent alone; `None` if it doesn't answer.
    async fn call_agent(
        &self,
        call: GroupCall,
        timeout: Duration,
    ) -> Option<(MemberReply, Option<SelectionSample>)> {
        let branch = [self.address];
        let reply = self.relay.call_branch(&call, &branch, timeout).await.ok()?;
        let (_member, own) = reply.members.into_iter().next()?;
        Some((own, reply.selections))
    }
}

impl RankLink for RemoteRank {
    fn view(&self, query: ViewQuery) -> BoxFuture<'_, Result<RankReading>> {
        Box::pin(async move {
            let requested_at = Instant::now();
            let called = self.call_agent(GroupCall::View(query), AGENT_TIMEOUT);
            match called.await {
                Some((MemberReply::View(view, load), selections)) => {
                    return Ok(RankReading {
                        view: *view,
                        requested_at,
                        is_current: true,
                        load: Some(load),
                        selections,
                    });
                }
                Some((MemberReply::Superseded, _)) => return Err(AgentError::Superseded),
                _ => {}
            }
            // Without selections: reading them over the network would make the whole group pause.
            let requested_at = Instant::now();
            let report = self.rank.report(REMOTE_RANK_TIMEOUT).await?;
            let mut view = report.ok_or(AgentError::NoGroup)?.view;
            self.experts.fill(&self.rank, &mut view).await?;
            Ok(RankReading {
                view,
                requested_at,
                is_current: false,
                load: None,
                selections: None,
            })
        })
    }

    fn order(&self, pending: PendingOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(async move {
            let call = GroupCall::Order(ForwardedOrder::new(&pending, None));
            match self.call_agent(call, FORWARDED_ORDER_TIMEOUT).await {
                Some((MemberReply::Order(reply), _)) => reply,
                _ => self.order_directly(pending).await,
            }
        })
    }

    fn order_directly(&self, pending: PendingOrder) -> BoxFuture<'_, OrderReply> {
        Box::pin(async move {
            let PendingOrder {
                order,
                fencing,
                generation,
                ..
            } = pending;
            self.rank
                .order(&order, fencing, generation, FORWARDED_ORDER_TIMEOUT)
                .await
        })
    }
}
