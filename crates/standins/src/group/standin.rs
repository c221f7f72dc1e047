//! Startup of a rank group.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthgw_core::RankId;
use tokio::time::Instant;

use super::GroupSettings;
use super::calls::{GroupShared, RankHandler};
use super::loading::load_experts;
use super::systems::group_schedule;
use crate::error::{Result, StandinError};
use crate::http::{ConnectionCloser, bind, serve};
use crate::running::{RunningStandin, Standin};

/// Stand-in for a rank group.
///
/// The ranks listen on consecutive ports, or on any free ports if the given port is 0.
#[derive(Clone, Debug)]
pub struct GroupStandin {
    settings: GroupSettings,
}

impl GroupStandin {
    /// Creates a stand-in that is not started yet.
    #[must_use]
    pub fn new(settings: GroupSettings) -> Self {
        Self { settings }
    }
}

impl Standin for GroupStandin {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        if self.settings.ranks == 0 {
            return Err(StandinError::NoRanks);
        }
        if self.settings.weights.is_some() && self.settings.model.is_none() {
            return Err(StandinError::NoModel);
        }
        let shared = Arc::new(GroupShared::new(self.settings.clone(), Instant::now()));
        let running = RunningStandin::new().with_task(run_steps(Arc::clone(&shared)));
        let mut ranks = (0..self.settings.ranks).map(RankId::new);
        ranks.try_fold(running, |running, rank| {
            start_rank(running, rank_address(listen, rank)?, rank, &shared)
        })
    }
}

fn start_rank(
    running: RunningStandin,
    listen: SocketAddr,
    rank: RankId,
    shared: &Arc<GroupShared>,
) -> Result<RunningStandin> {
    let (listener, address) = bind(listen)?;
    let closer = ConnectionCloser::new();
    let handler = RankHandler::new(rank, Arc::clone(shared), closer.clone());
    let running = running.with_address(address);
    let running = running.with_task(load_experts(Arc::clone(shared), rank));
    Ok(running.with_task(serve(listener, Arc::new(handler), closer)))
}

fn rank_address(first: SocketAddr, rank: RankId) -> Result<SocketAddr> {
    if first.port() == 0 {
        return Ok(first);
    }
    let port = first.port().checked_add(rank.get());
    let port = port.ok_or(StandinError::NoPort { first, rank })?;
    Ok(SocketAddr::new(first.ip(), port))
}

/// Runs the group's systems whenever a step is due, until the future is dropped.
async fn run_steps(shared: Arc<GroupShared>) {
    let mut schedule = group_schedule();
    loop {
        let due = shared.run_due(&mut schedule, Instant::now());
        tokio::time::sleep_until(due).await;
    }
}
