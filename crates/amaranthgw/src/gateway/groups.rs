//! Polls agents for the rank group of each target, whether the group runs, and its slow ranks.
//!
//! A suspected group counts as stalled until an agent's reply or a timeout clears the suspicion.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{DomainId, GroupId, TargetId};
use amaranthgw_fleet::gateway::{
    GroupGauge, GroupStatus, GroupSuspicion, RankLoadReport, TargetCandidate,
};
use amaranthgw_net::{DialSettings, PooledClient, WholeReply};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures_util::future::join_all;
use http::{Method, StatusCode};
use ractor::ActorRef;
use tokio::time::{Instant, sleep};

use super::control::ControlMessage;
use super::shared::GatewayShared;
use crate::agent::GROUP_PATH;
use crate::telemetry::{EventLog, NodeEvent};

/// Pause between rounds: a few steps of a group.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the same agent is queried about its group, over one connection.
const SAME_AGENT_TIME: Duration = Duration::from_secs(4);
/// Interval between queries about a group that is not suspected.
const HEALTHY_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a query to an agent: several round trips to it and its rank.
const AGENT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between queries to an agent for the group of its target.
const GROUP_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Agents with refused replies that are remembered, so that each is logged once.
const MAX_REFUSING: usize = 256;
/// Number of agents queried at once.
const MAX_PARALLEL_QUERIES: usize = 8;
/// Age of a suspicion from which a query without a usable reply clears it, so that the group gets
/// requests again.
const NO_REPLY_TIMEOUT: Duration = Duration::from_millis(3_400);

/// Polls the groups until the process ends.
pub(super) async fn follow_groups(
    shared: Arc<GatewayShared>,
    control: ActorRef<ControlMessage>,
    agent_port: u16,
    log: EventLog,
) {
    let mut monitor = GroupMonitor {
        shared,
        control,
        agent_port,
        log,
        queried_at: HashMap::new(),
        polled_at: HashMap::new(),
        suspicions: HashMap::new(),
        sources: HashMap::new(),
        refusing: HashSet::new(),
    };
    loop {
        sleep(POLL_INTERVAL).await;
        monitor.learn_groups().await;
        monitor.poll_groups().await;
    }
}

struct GroupMonitor {
    shared: Arc<GatewayShared>,
    control: ActorRef<ControlMessage>,
    agent_port: u16,
    log: EventLog,
    /// Time of the last query for the group of a target.
    queried_at: HashMap<TargetId, Instant>,
    /// Time of the last query for the status of a group.
    polled_at: HashMap<GroupId, Instant>,
    suspicions: HashMap<GroupId, GroupSuspicion>,
    /// Agent that is queried about each group.
    sources: HashMap<GroupId, GroupSource>,
    /// Agents whose last reply was refused.
    refusing: HashSet<SocketAddr>,
}

/// Agent that is queried about a group.
#[derive(Debug)]
struct GroupSource {
    rank: SocketAddr,
    client: PooledClient,
    chosen_at: Instant,
}

impl GroupSource {
    /// Chooses an agent at random, if possible in `domain`.
    fn new(
        ranks: &[TargetCandidate],
        domain: &DomainId,
        agent_port: u16,
        now: Instant,
    ) -> Option<Self> {
        let near: Vec<_> = ranks
            .iter()
            .filter(|rank| rank.record.domain == *domain)
            .collect();
        let chosen = if near.is_empty() {
            ranks.get(fastrand::usize(..ranks.len().max(1)))?
        } else {
            near[fastrand::usize(..near.len())]
        };
        let rank = chosen.record.address;
        let agent = SocketAddr::new(rank.ip(), agent_port);
        Some(Self {
            rank,
            client: PooledClient::new(agent, DialSettings::new(AGENT_TIMEOUT)),
            chosen_at: now,
        })
    }

    /// Whether the agent is still one of `ranks` and not in use for long.
    fn is_usable(&self, ranks: &[TargetCandidate], now: Instant) -> bool {
        now.saturating_duration_since(self.chosen_at) < SAME_AGENT_TIME
            && ranks.iter().any(|rank| rank.record.address == self.rank)
    }
}

impl GroupMonitor {
    /// Targets in the current snapshot that are ranks of a group.
    fn ranks(&self) -> Vec<TargetCandidate> {
        let snapshot = self.shared.snapshot.load();
        let services = &snapshot.routes.services;
        let has_groups = |target: &&TargetCandidate| {
            let service = services.get(&target.record.service);
            service.is_some_and(|service| service.experts.is_some())
        };
        let targets = snapshot.targets.values().flatten();
        targets.filter(has_groups).cloned().collect()
    }

    /// Queries the agents of some targets whose group is unknown.
    async fn learn_groups(&mut self) {
        let now = Instant::now();
        let ranks = self.ranks();
        self.queried_at
            .retain(|target, _| ranks.iter().any(|rank| rank.record.target == *target));
        let is_due = |target: &TargetId| {
            let queried_at = self.queried_at.get(target);
            queried_at.is_none_or(|at| now.saturating_duration_since(*at) >= GROUP_QUERY_INTERVAL)
        };
        let unknown: Vec<_> = ranks
            .into_iter()
            .filter(|rank| rank.group.is_none() && is_due(&rank.record.target))
            .take(MAX_PARALLEL_QUERIES)
            .collect();
        let statuses = join_all(unknown.iter().map(|rank| self.query_agent(rank))).await;
        for (rank, status) in unknown.into_iter().zip(statuses) {
            let target = rank.record.target;
            self.queried_at.insert(target.clone(), now);
            if let Some(status) = status {
                // Fails only while the process stops.
                drop(
                    self.control
                        .cast(ControlMessage::Grouped(target, status.group)),
                );
            }
        }
    }

    /// Queries one agent of each group that is suspected or whose poll interval has passed.
    async fn poll_groups(&mut self) {
        let now = Instant::now();
        let mut members: HashMap<GroupId, Vec<TargetCandidate>> = HashMap::new();
        for rank in self.ranks() {
            if let Some(gauge) = &rank.group {
                members.entry(gauge.group().clone()).or_default().push(rank);
            }
        }
        self.polled_at
            .retain(|group, _| members.contains_key(group));
        self.suspicions
            .retain(|group, _| members.contains_key(group));
        self.sources.retain(|group, _| members.contains_key(group));
        for (group, ranks) in members {
            let Some(gauge) = ranks.first().and_then(|rank| rank.group.clone()) else {
                continue;
            };
            let polled_at = self.polled_at.get(&group);
            let is_due = |at: &Instant| now.saturating_duration_since(*at) >= HEALTHY_POLL_INTERVAL;
            if !gauge.check_stalled(now) && !polled_at.is_none_or(is_due) {
                continue;
            }
            self.polled_at.insert(group.clone(), now);
            let status = self.query_group(&group, &ranks, now).await;
            self.apply_status(&gauge, &ranks, status.as_ref());
            self.record_suspicion(&group, &gauge);
            self.resolve_suspicion(&group, &gauge, status.as_ref());
        }
    }

    /// Queries an agent of `group`: the same as before, unless that failed or was long ago.
    async fn query_group(
        &mut self,
        group: &GroupId,
        ranks: &[TargetCandidate],
        now: Instant,
    ) -> Option<GroupStatus> {
        let known = self.sources.remove(group);
        let source = match known.filter(|source| source.is_usable(ranks, now)) {
            Some(source) => source,
            None => GroupSource::new(ranks, &self.shared.domain, self.agent_port, now)?,
        };
        let status = self.query(&source.client, source.rank).await;
        let status = status.filter(|status| status.group == *group)?;
        self.sources.insert(group.clone(), source);
        Some(status)
    }

    /// Applies an agent's reply: loads, slow ranks, and whether the group is open.
    fn apply_status(
        &self,
        gauge: &GroupGauge,
        ranks: &[TargetCandidate],
        status: Option<&GroupStatus>,
    ) {
        let Some(status) = status else {
            return;
        };
        let now = Instant::now();
        gauge.record_report(status.is_open, now);
        gauge.record_step(status.generation, status.step, now);
        apply_loads(ranks, &status.loads, now);
        let is_slow = |rank: &&TargetCandidate| status.slow.contains(&rank.record.address);
        for rank in ranks.iter().filter(is_slow) {
            if !rank.gauge.is_slow(now) {
                self.log.record(NodeEvent::TargetShifted {
                    target: rank.record.target.clone(),
                    state: "slow",
                    address: CompactString::default(),
                    source: "group",
                });
            }
            rank.gauge.record_slow(now);
        }
    }

    fn record_suspicion(&mut self, group: &GroupId, gauge: &GroupGauge) {
        let Some(since) = gauge.suspected_at() else {
            self.suspicions.remove(group);
            return;
        };
        let known = self.suspicions.get(group);
        if known.is_some_and(|known| known.since() == since) {
            return;
        }
        self.suspicions
            .insert(group.clone(), GroupSuspicion::new(since));
        self.log.record(NodeEvent::GroupShifted {
            group: group.clone(),
            state: "suspected",
            age_ms: 0,
        });
    }

    fn resolve_suspicion(
        &mut self,
        group: &GroupId,
        gauge: &GroupGauge,
        status: Option<&GroupStatus>,
    ) {
        let now = Instant::now();
        let Some(suspicion) = self.suspicions.get_mut(group) else {
            return;
        };
        let age = now.saturating_duration_since(suspicion.since());
        let state = match status {
            Some(status) if suspicion.is_cleared_by(status, now) => "cleared",
            None if age >= NO_REPLY_TIMEOUT => "untold",
            _ => return,
        };
        gauge.clear();
        self.suspicions.remove(group);
        self.log.record(NodeEvent::GroupShifted {
            group: group.clone(),
            state,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        });
    }

    /// Queries the agent of `rank` for its group's status; `None` if it gives no usable
    /// reply.
    async fn query_agent(&self, rank: &TargetCandidate) -> Option<GroupStatus> {
        let address = SocketAddr::new(rank.record.address.ip(), self.agent_port);
        let agent = PooledClient::new(address, DialSettings::new(AGENT_TIMEOUT));
        let call = agent.call(Method::GET, GROUP_PATH, Bytes::new(), AGENT_TIMEOUT);
        // A failed query is repeated in a later round, at any agent of the group if it is known.
        decode_status(&call.await.ok()?).ok().flatten()
    }

    /// As [`query_agent`](Self::query_agent), over a kept connection; logs a refused reply.
    async fn query(&mut self, agent: &PooledClient, rank: SocketAddr) -> Option<GroupStatus> {
        let call = agent.call(Method::GET, GROUP_PATH, Bytes::new(), AGENT_TIMEOUT);
        match decode_status(&call.await.ok()?) {
            Ok(status) => {
                self.refusing.remove(&rank);
                status
            }
            Err(reason) => {
                if self.refusing.len() >= MAX_REFUSING {
                    self.refusing.clear();
                }
                if self.refusing.insert(rank) {
                    self.log.record(NodeEvent::GroupReportRefused {
                        address: rank.to_compact_string(),
                        reason,
                    });
                }
                None
            }
        }
    }
}

/// Decodes an agent's reply; `None` if the agent could not tell.
///
/// # Errors
///
/// Returns why a reply is refused.
fn decode_status(reply: &WholeReply) -> Result<Option<GroupStatus>, CompactString> {
    if reply.status != StatusCode::OK {
        return Ok(None);
    }
    let status: GroupStatus =
        serde_json::from_slice(&reply.body).map_err(|error| error.to_compact_string())?;
    RankLoadReport::check_all(&status.loads).map_err(|error| error.to_compact_string())?;
    Ok(Some(status))
}

/// Records the loads of `ranks`.
fn apply_loads(ranks: &[TargetCandidate], loads: &[RankLoadReport], now: Instant) {
    let by_rank: HashMap<_, _> = loads.iter().map(|report| (report.rank, report)).collect();
    for rank in ranks {
        let Some(report) = by_rank.get(&rank.record.address) else {
            continue;
        };
        if let Some(read_at) = now.checked_sub(report.age.duration()) {
            rank.gauge.record_report(&report.load, read_at, now);
        }
    }
}
