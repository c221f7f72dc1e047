//! Replication of the committed configuration to one node.

use amaranthgw_core::{ChangeNumber, MilliSpan, StoreRevision, VmId};
use tokio::time::Instant;

use super::history::ChangeHistory;
use super::schedule::{PullSchedule, ReadOutcome, ReadSchedule};
use super::{
    ConfigBase, ConfigChange, ConfigError, ConfigLog, ConfigMessage, ConfigOffer, ConfigPull,
    ConfigPush, RelayTopology, ServingState, StoreCall, StoreReply,
};

/// Action that a follower requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerEffect {
    /// Call the key-value service and pass on the reply. A call without a reply within 10 s counts
    /// as failed, so the next one may be requested while it is still pending.
    Store(StoreCall),
    /// Send a message to a peer.
    Send {
        /// Receiver.
        peer: VmId,
        /// Content.
        message: ConfigMessage,
    },
    /// The state was advanced to this number.
    Applied(ChangeNumber),
    /// A change or base was not valid; the state is unchanged.
    Refused(ConfigError),
    /// A change differs from the one applied under the same number; the state is unchanged.
    Diverged(ChangeNumber),
}

/// Keeps the configuration of one node up to date from the key-value service and from peers.
///
/// The number of the state never decreases. A change is applied only to the state that directly
/// precedes it.
#[derive(Debug)]
pub struct ConfigFollower {
    pub(super) state: ServingState,
    pub(super) history: ChangeHistory,
    pub(super) relay: RelayTopology,
    /// Time of the last confirmation that no newer change is stored.
    pub(super) confirmed_at: Option<Instant>,
    /// Last value of `confirmed_at` that was announced to the successors.
    pub(super) announced_at: Option<Instant>,
    pub(super) next_offer_at: Instant,
    pub(super) next_offer_index: usize,
    pub(super) revision: StoreRevision,
    pub(super) pending_log: Option<(ConfigLog, StoreRevision)>,
    pub(super) reads: ReadSchedule,
    pub(super) pulls: PullSchedule,
    pub(super) effects: Vec<FollowerEffect>,
}

impl ConfigFollower {
    /// Creates a follower with the empty configuration; `seed` seeds its random delays.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            state: ServingState::default(),
            history: ChangeHistory::default(),
            relay: RelayTopology::default(),
            confirmed_at: None,
            announced_at: None,
            next_offer_at: now,
            next_offer_index: 0,
            revision: StoreRevision::default(),
            pending_log: None,
            reads: ReadSchedule::new(seed, now),
            pulls: PullSchedule::new(seed, now),
            effects: Vec::new(),
        }
    }

    /// Current configuration.
    #[must_use]
    pub const fn state(&self) -> &ServingState {
        &self.state
    }

    /// Number of the last applied change.
    #[must_use]
    pub const fn number(&self) -> ChangeNumber {
        self.state.number
    }

    /// Whether the node has received a configuration, including a confirmed empty one.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.confirmed_at.is_some() || self.state.number > ChangeNumber::default()
    }

    /// Time since the last confirmation that no newer change is stored; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<MilliSpan> {
        let age = |at: Instant| MilliSpan::from_duration(now.saturating_duration_since(at));
        self.confirmed_at.map(age)
    }

    /// Sets the node's relay topology; to be called at each change of the VM list.
    pub fn set_relay(&mut self, relay: RelayTopology) {
        self.relay = relay;
    }

    /// Returns the calls and messages that are due at `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<FollowerEffect> {
        if self.reads.is_due(&self.relay, self.confirmed_at, now) {
            let call = self.next_read();
            self.reads.start(now);
            self.effects.push(FollowerEffect::Store(call));
        }
        if self.pulls.is_behind(self.state.number) || !self.is_synced() {
            self.pull(now);
        }
        self.offer_to_next(now);
        self.take_effects()
    }

    /// Handles the reply to the last call to the key-value service.
    pub fn on_reply(&mut self, reply: StoreReply, now: Instant) -> Vec<FollowerEffect> {
        match reply {
            StoreReply::Log { log, revision } => self.on_log(log, revision, now),
            StoreReply::Base(base) => self.on_base(*base, now),
            StoreReply::Unchanged => {
                self.reads.finish(ReadOutcome::Done, &self.relay, now);
                self.confirm(now, now);
            }
            // The call failed, or the base is missing: it was removed because the log was compacted
            // to a newer one. The next call reads the log again.
            _ => {
                self.pending_log = None;
                self.reads.finish(ReadOutcome::Failed, &self.relay, now);
            }
        }
        self.take_effects()
    }

    /// Handles a message from the peer `from`.
    pub fn on_message(
        &mut self,
        from: &VmId,
        message: ConfigMessage,
        now: Instant,
    ) -> Vec<FollowerEffect> {
        match message {
            ConfigMessage::Offer(offer) => self.on_offer(from, &offer, now),
            ConfigMessage::Pull(pull) => self.on_pull(from, &pull, now),
            ConfigMessage::Push(push) => self.on_push(from, push, now),
        }
        self.take_effects()
    }

    /// Records a change number that was attached to other traffic from the peer `from`.
    pub fn on_number(&mut self, from: &VmId, number: ChangeNumber, now: Instant) {
        if number > self.state.number {
            self.pulls.record_announcement(from, number, now);
        }
    }

    fn next_read(&self) -> StoreCall {
        if let Some((log, _)) = &self.pending_log {
            return StoreCall::ReadBase { number: log.base };
        }
        if self.relay.is_watcher() && self.confirmed_at.is_some() {
            return StoreCall::WatchLog {
                after: self.revision,
                wait: super::schedule::WATCH_WAIT,
            };
        }
        StoreCall::ReadLog
    }

    fn on_log(&mut self, log: ConfigLog, revision: StoreRevision, now: Instant) {
        // A log that is older than the last one read or than the state, which may come from a peer,
        // doesn't confirm that nothing newer is stored.
        let is_stale = revision < self.revision || log.number() < self.state.number;
        if is_stale {
            self.reads.finish(ReadOutcome::Failed, &self.relay, now);
            return;
        }
        if log.base > self.state.number {
            self.pending_log = Some((log, revision));
            let call = self.next_read();
            self.reads.start(now);
            self.effects.push(FollowerEffect::Store(call));
            return;
        }
        self.apply_log(log, revision, now);
    }

    fn on_base(&mut self, base: ConfigBase, now: Instant) {
        let Some((log, revision)) = self.pending_log.take() else {
            self.reads.finish(ReadOutcome::Failed, &self.relay, now);
            return;
        };
        self.install(base.state, None, now);
        if log.base > self.state.number {
            self.reads.finish(ReadOutcome::Failed, &self.relay, now);
            return;
        }
        self.apply_log(log, revision, now);
    }

    fn apply_log(&mut self, log: ConfigLog, revision: StoreRevision, now: Instant) {
        let number = log.number();
        let is_newer = revision > self.revision;
        let is_applied = self.apply_all(log.changes, None, now) && self.state.number >= number;
        let outcome = match (is_applied, is_newer) {
            (true, true) => ReadOutcome::Done,
            (true, false) => ReadOutcome::Repeated,
            (false, _) => ReadOutcome::Failed,
        };
        self.reads.finish(outcome, &self.relay, now);
        if is_applied {
            self.revision = revision;
            self.confirm(now, now);
        }
    }

    fn on_offer(&mut self, from: &VmId, offer: &ConfigOffer, now: Instant) {
        if offer.number > self.state.number {
            self.pulls.record_announcement(from, offer.number, now);
            return;
        }
        if offer.number < self.state.number {
            self.offer_to(from, now);
            return;
        }
        let confirmed_at = now.checked_sub(offer.age.duration());
        if let Some(at) = confirmed_at {
            self.confirm(at, now);
        }
    }

    fn on_pull(&mut self, from: &VmId, pull: &ConfigPull, now: Instant) {
        if pull.after >= self.state.number {
            self.offer_to(from, now);
            return;
        }
        let push = match self.history.after(pull.after) {
            Some(changes) => ConfigPush {
                base: None,
                changes,
            },
            None => ConfigPush {
                base: Some(Box::new(self.state.clone())),
                changes: Vec::new(),
            },
        };
        self.send(from, ConfigMessage::Push(push));
    }

    fn on_push(&mut self, from: &VmId, push: ConfigPush, now: Instant) {
        if let Some(base) = push.base {
            self.install(*base, Some(from), now);
        }
        if let Some(last) = push.changes.last() {
            let number = last.number;
            self.apply_all(push.changes, Some(from), now);
            self.on_number(from, number, now);
        }
    }

    /// Replaces the state by a newer one and announces it.
    fn install(&mut self, state: ServingState, from: Option<&VmId>, now: Instant) {
        if state.number <= self.state.number {
            return;
        }
        if let Err(error) = state.check() {
            self.effects.push(FollowerEffect::Refused(error));
            return;
        }
        self.state = state;
        self.history.clear();
        self.effects
            .push(FollowerEffect::Applied(self.state.number));
        self.gossip(Vec::new(), from, now);
    }

    /// Applies the changes that follow the state and skips those that are already applied.
    ///
    /// Returns `false` if a change was rejected or differs from the one applied under its number.
    fn apply_all(&mut self, changes: Vec<ConfigChange>, from: Option<&VmId>, now: Instant) -> bool {
        let mut applied = Vec::new();
        let mut rejection = None;
        for change in changes {
            if change.number <= self.state.number {
                if self.history.conflicts_with(&change) {
                    rejection = Some(FollowerEffect::Diverged(change.number));
                    break;
                }
                continue;
            }
            if change.number != self.state.number.next() {
                break;
            }
            if let Err(error) = self.state.apply(&change) {
                rejection = Some(FollowerEffect::Refused(error));
                break;
            }
            self.history.push(change.clone());
            applied.push(change);
        }
        if !applied.is_empty() {
            self.effects
                .push(FollowerEffect::Applied(self.state.number));
            self.gossip(applied, from, now);
        }
        let is_consistent = rejection.is_none();
        self.effects.extend(rejection);
        is_consistent
    }

    fn take_effects(&mut self) -> Vec<FollowerEffect> {
        std::mem::take(&mut self.effects)
    }
}
