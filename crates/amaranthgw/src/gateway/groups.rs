//! Learns from agents which rank groups targets belong to, whether these run, and which of their
//! ranks are slow.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{GroupId, TargetId};
use amaranthgw_fleet::gateway::{GroupGauge, GroupStatus, GroupSuspicion, TargetChoice};
use amaranthgw_net::{DialSettings, PooledClient};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::join_all;
use http::Method;
use ractor::ActorRef;
use tokio::time::{Instant, sleep};

use super::control::ControlMessage;
use super::shared::GatewayShared;
use crate::agent::GROUP_PATH;
use crate::telemetry::{EventLog, NodeEvent};

/// Pause between two looks: a few steps of a group.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two questions about a group that is not suspected.
const CALM_PAUSE: Duration = Duration::from_millis(400);
/// Longest wait for an agent: some times the way to it and its rank.
const AGENT_LIMIT: Duration = Duration::from_millis(250);
/// Pause before the agent beside a target is asked for its group again.
const ASK_PAUSE: Duration = Duration::from_secs(1);
/// Agents asked at once.
const ASKED_AT_ONCE: usize = 8;
/// Time after which a suspected group whose agents are all silent gets work again.
const UNTOLD_LIMIT: Duration = Duration::from_millis(3_400);

/// Looks at the groups for as long as the process runs.
pub(super) async fn follow_groups(
    shared: Arc<GatewayShared>,
    control: ActorRef<ControlMessage>,
    agent_port: u16,
    log: EventLog,
) {
    let mut feed = GroupFeed {
        shared,
        control,
        agent_port,
        log,
        asked_at: HashMap::new(),
        looked_at: HashMap::new(),
        suspicions: HashMap::new(),
    };
    loop {
        sleep(LOOK_PAUSE).await;
        feed.learn_groups().await;
        feed.look_at_groups().await;
    }
}

struct GroupFeed {
    shared: Arc<GatewayShared>,
    control: ActorRef<ControlMessage>,
    agent_port: u16,
    log: EventLog,
    asked_at: HashMap<TargetId, Instant>,
    looked_at: HashMap<GroupId, Instant>,
    suspicions: HashMap<GroupId, GroupSuspicion>,
}

impl GroupFeed {
    /// Ranks among the targets in force.
    fn ranks(&self) -> Vec<TargetChoice> {
        let snapshot = self.shared.snapshot.load();
        let services = &snapshot.routes.services;
        let has_groups = |target: &&TargetChoice| {
            let service = services.get(&target.record.service);
            service.is_some_and(|service| service.experts.is_some())
        };
        let targets = snapshot.targets.values().flatten();
        targets.filter(has_groups).cloned().collect()
    }

    /// Asks the agents beside some targets whose groups are not known.
    async fn learn_groups(&mut self) {
        let now = Instant::now();
        let ranks = self.ranks();
        self.asked_at
            .retain(|target, _| ranks.iter().any(|rank| rank.record.target == *target));
        let is_due = |target: &TargetId| {
            let asked_at = self.asked_at.get(target);
            asked_at.is_none_or(|at| now.saturating_duration_since(*at) >= ASK_PAUSE)
        };
        let unknown: Vec<_> = ranks
            .into_iter()
            .filter(|rank| rank.group.is_none() && is_due(&rank.record.target))
            .take(ASKED_AT_ONCE)
            .collect();
        let notes = join_all(unknown.iter().map(|rank| self.ask(rank))).await;
        for (rank, note) in unknown.into_iter().zip(notes) {
            let target = rank.record.target;
            self.asked_at.insert(target.clone(), now);
            if let Some(note) = note {
                // A stopping process needs no news.
                drop(
                    self.control
                        .cast(ControlMessage::Grouped(target, note.group)),
                );
            }
        }
    }

    /// Asks an agent of each group that is suspected, or was not asked for a while.
    async fn look_at_groups(&mut self) {
        let now = Instant::now();
        let mut members: HashMap<GroupId, Vec<TargetChoice>> = HashMap::new();
        for rank in self.ranks() {
            if let Some(gauge) = &rank.group {
                members.entry(gauge.group().clone()).or_default().push(rank);
            }
        }
        self.looked_at
            .retain(|group, _| members.contains_key(group));
        self.suspicions
            .retain(|group, _| members.contains_key(group));
        for (group, ranks) in members {
            let Some(gauge) = ranks.first().and_then(|rank| rank.group.clone()) else {
                continue;
            };
            let looked_at = self.looked_at.get(&group);
            let is_due = |at: &Instant| now.saturating_duration_since(*at) >= CALM_PAUSE;
            if !gauge.is_stalled(now) && !looked_at.is_none_or(is_due) {
                continue;
            }
            self.looked_at.insert(group.clone(), now);
            let asked = &ranks[fastrand::usize(..ranks.len())];
            let note = self.ask(asked).await.filter(|note| note.group == group);
            self.take_news(&gauge, &ranks, note.as_ref());
            self.note_suspicion(&group, &gauge);
            self.judge_suspicion(&group, &gauge, note.as_ref());
        }
    }

    /// Takes what an agent told: slow ranks, and whether the group is broken.
    fn take_news(&self, gauge: &GroupGauge, ranks: &[TargetChoice], note: Option<&GroupStatus>) {
        let Some(note) = note else {
            return;
        };
        let now = Instant::now();
        if !note.is_open {
            gauge.suspect(now);
        }
        let is_slow = |rank: &&TargetChoice| note.slow.contains(&rank.record.address);
        for rank in ranks.iter().filter(is_slow) {
            if !rank.gauge.is_slow(now) {
                self.log.record(NodeEvent::TargetShifted {
                    target: rank.record.target.clone(),
                    state: "slow",
                    address: CompactString::default(),
                });
            }
            rank.gauge.record_slow(now);
        }
    }

    fn note_suspicion(&mut self, group: &GroupId, gauge: &GroupGauge) {
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

    fn judge_suspicion(&mut self, group: &GroupId, gauge: &GroupGauge, note: Option<&GroupStatus>) {
        let now = Instant::now();
        let Some(suspicion) = self.suspicions.get_mut(group) else {
            return;
        };
        let age = now.saturating_duration_since(suspicion.since());
        let state = match note {
            Some(note) if suspicion.is_cleared_by(note, now) => "cleared",
            None if age >= UNTOLD_LIMIT => "untold",
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

    /// What the agent beside `rank` tells of its group; `None` where it does not answer.
    async fn ask(&self, rank: &TargetChoice) -> Option<GroupStatus> {
        let address = SocketAddr::new(rank.record.address.ip(), self.agent_port);
        let agent = PooledClient::new(address, DialSettings::new(AGENT_LIMIT));
        let asked = agent.call(Method::GET, GROUP_PATH, Bytes::new(), AGENT_LIMIT);
        // An agent that is away is asked again, or another one of its group is.
        serde_json::from_slice(&asked.await.ok()?.body).ok()
    }
}
