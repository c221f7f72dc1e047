//! The rank beside this process.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_fleet::gateway::GroupStatus;
use amaranthgw_groups::rebalance::{CoordinatorMark, OrderReply, RankView};
use amaranthgw_platform::rank::RankClient;
use tokio::time::Instant;

use super::experts::KnownExperts;
use super::link::{BESIDE_LIMIT, ORDER_LIMIT, PassedOrder};
use super::{AgentError, Result};
use crate::telemetry::{EventLog, NodeEvent};

/// What the coordinator told when it asked last.
#[derive(Clone, Debug)]
struct CoordinatorAsk {
    asked_at: Instant,
    mark: Option<CoordinatorMark>,
    slow: Vec<SocketAddr>,
}

/// Age at which what a coordinator told of slow ranks is no longer passed on: a few of its looks.
const SLOW_NOTE_LIFE: Duration = Duration::from_millis(1_500);

/// The rank beside this process, with what is known of it.
#[derive(Debug)]
pub(super) struct RankBeside {
    client: RankClient,
    experts: KnownExperts,
    asked: Mutex<Option<CoordinatorAsk>>,
    log: EventLog,
}

impl RankBeside {
    /// Creates the client of the rank at `address`.
    pub(super) fn new(address: SocketAddr, log: EventLog) -> Self {
        Self {
            client: RankClient::new(address),
            experts: KnownExperts::default(),
            asked: Mutex::default(),
            log,
        }
    }

    /// State of the rank with its experts and, where `has_counts`, the counts.
    pub(super) async fn read(&self, has_counts: bool) -> Result<RankView> {
        let mut view = self.report().await?;
        if has_counts {
            let counts = self.client.counts(view.generation, BESIDE_LIMIT).await?;
            view.counts = counts.unwrap_or_default();
        }
        self.experts.complete(&self.client, &mut view).await?;
        Ok(view)
    }

    async fn report(&self) -> Result<RankView> {
        let report = self.client.report(BESIDE_LIMIT).await?;
        report.ok_or(AgentError::NoGroup)
    }

    /// State of the rank's group.
    pub(super) async fn note(&self) -> Result<GroupStatus> {
        let view = self.report().await?;
        Ok(GroupStatus {
            group: view.group,
            generation: view.generation,
            is_open: view.is_open,
            step: view.step,
            slow: self.slow_ranks(),
        })
    }

    /// Passes an order on to the rank.
    pub(super) async fn pass_on(&self, passed: PassedOrder) -> OrderReply {
        let PassedOrder {
            order,
            fence,
            generation,
        } = passed;
        let reply = self
            .client
            .order(&order, fence, generation, ORDER_LIMIT)
            .await;
        self.log.record(NodeEvent::OrderPassed {
            order: order.name(),
            fence,
            generation,
            reply: reply.name(),
        });
        reply
    }

    /// Slow ranks of the group, as its coordinator told lately.
    fn slow_ranks(&self) -> Vec<SocketAddr> {
        let asked = self.asked().clone();
        let is_recent = |ask: &CoordinatorAsk| ask.asked_at.elapsed() < SLOW_NOTE_LIFE;
        asked
            .filter(is_recent)
            .map_or_else(Vec::new, |ask| ask.slow)
    }

    /// Notes that a coordinator asked for the state of the rank, and what it told.
    pub(super) fn note_asked(&self, mark: Option<CoordinatorMark>, slow: Vec<SocketAddr>) {
        *self.asked() = Some(CoordinatorAsk {
            asked_at: Instant::now(),
            mark,
            slow,
        });
    }

    /// When a coordinator last asked.
    pub(super) fn asked_at(&self) -> Option<Instant> {
        self.asked().as_ref().map(|ask| ask.asked_at)
    }

    /// The coordinator that asked last.
    pub(super) fn coordinator(&self) -> Option<CoordinatorMark> {
        self.asked().as_ref().and_then(|ask| ask.mark)
    }

    fn asked(&self) -> MutexGuard<'_, Option<CoordinatorAsk>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
