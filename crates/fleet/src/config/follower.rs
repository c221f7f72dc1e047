//! Keeping the accepted configuration in force at one node.

use amaranthgw_core::{ChangeNumber, MilliSpan, StoreRevision, VmId};
use tokio::time::Instant;

use super::history::ChangeHistory;
use super::pace::{PullPace, ReadEnd, ReadPace};
use super::{
    ConfigBase, ConfigChange, ConfigError, ConfigLog, ConfigMessage, ConfigOffer, ConfigPull,
    ConfigPush, RelayPlan, ServingState, StoreCall, StoreReply,
};

/// What a follower wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerEffect {
    /// Call the key-value service and pass on the reply; at most one such call is open.
    Store(StoreCall),
    /// Send a message to a peer.
    Tell {
        /// The peer.
        peer: VmId,
        /// The message.
        message: ConfigMessage,
    },
    /// The state has changed; it now has this number.
    InForce(ChangeNumber),
    /// A change or base is not valid; the state stays as it is.
    Refused(ConfigError),
    /// A change differs from the one in force under the same number; the state stays as it is.
    Diverged(ChangeNumber),
}

/// The configuration in force at one node, and how the node hears of newer ones.
///
/// The number of the state never decreases. A change is applied only to the state that precedes
/// it.
#[derive(Debug)]
pub struct ConfigFollower {
    pub(super) state: ServingState,
    pub(super) history: ChangeHistory,
    pub(super) relay: RelayPlan,
    pub(super) confirmed_at: Option<Instant>,
    pub(super) told_at: Option<Instant>,
    pub(super) next_offer_at: Instant,
    pub(super) offer_turn: usize,
    pub(super) revision: StoreRevision,
    pub(super) waiting_log: Option<(ConfigLog, StoreRevision)>,
    pub(super) reads: ReadPace,
    pub(super) pulls: PullPace,
    pub(super) effects: Vec<FollowerEffect>,
}

impl ConfigFollower {
    /// Creates the follower of a node that knows nothing yet; `seed` varies its random waits.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            state: ServingState::default(),
            history: ChangeHistory::default(),
            relay: RelayPlan::default(),
            confirmed_at: None,
            told_at: None,
            next_offer_at: now,
            offer_turn: 0,
            revision: StoreRevision::default(),
            waiting_log: None,
            reads: ReadPace::new(seed, now),
            pulls: PullPace::new(seed, now),
            effects: Vec::new(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub const fn state(&self) -> &ServingState {
        &self.state
    }

    /// Number of the last change in force.
    #[must_use]
    pub const fn number(&self) -> ChangeNumber {
        self.state.number
    }

    /// Whether the node has learnt a configuration, be it an empty one.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.confirmed_at.is_some() || self.state.number > ChangeNumber::default()
    }

    /// Time since the key-value service was last known to hold no newer change.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<MilliSpan> {
        let age = |at: Instant| MilliSpan::with_duration(now.saturating_duration_since(at));
        self.confirmed_at.map(age)
    }

    /// Takes the node's part in spreading the configuration, anew at each change of the VM list.
    pub fn set_relay(&mut self, relay: RelayPlan) {
        self.relay = relay;
    }

    /// Starts the calls and messages that are due at `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<FollowerEffect> {
        if self.reads.is_due(&self.relay, self.confirmed_at, now) {
            let call = self.next_read();
            self.reads.start(now);
            self.effects.push(FollowerEffect::Store(call));
        }
        if self.pulls.is_behind(self.state.number) || !self.is_synced() {
            self.pull(now);
        }
        self.offer_in_turn(now);
        self.take_effects()
    }

    /// Takes the reply to the last call of the key-value service.
    pub fn on_reply(&mut self, reply: StoreReply, now: Instant) -> Vec<FollowerEffect> {
        match reply {
            StoreReply::Log { log, revision } => self.on_log(log, revision, now),
            StoreReply::Base(base) => self.on_base(*base, now),
            StoreReply::Unchanged => {
                self.reads.finish(ReadEnd::Done, &self.relay, now);
                self.confirm(now, now);
            }
            // An absent base means that the log has moved on to another one.
            _ => {
                self.waiting_log = None;
                self.reads.finish(ReadEnd::Failed, &self.relay, now);
            }
        }
        self.take_effects()
    }

    /// Takes a message of the peer `from`.
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

    /// Notes a change number that ordinary traffic with the peer `from` carried.
    pub fn on_number(&mut self, from: &VmId, number: ChangeNumber, now: Instant) {
        if number > self.state.number {
            self.pulls.hear(from, number, now);
        }
    }

    fn next_read(&self) -> StoreCall {
        if let Some((log, _)) = &self.waiting_log {
            return StoreCall::ReadBase { number: log.base };
        }
        if self.relay.is_watcher() && self.confirmed_at.is_some() {
            return StoreCall::WatchLog {
                after: self.revision,
                wait: super::pace::WATCH_WAIT,
            };
        }
        StoreCall::ReadLog
    }

    fn on_log(&mut self, log: ConfigLog, revision: StoreRevision, now: Instant) {
        // An older value than one already seen is no news and confirms nothing.
        let is_stale = revision < self.revision || log.number() < self.state.number;
        if is_stale {
            self.reads.finish(ReadEnd::Failed, &self.relay, now);
            return;
        }
        if log.base > self.state.number {
            self.waiting_log = Some((log, revision));
            let call = self.next_read();
            self.reads.start(now);
            self.effects.push(FollowerEffect::Store(call));
            return;
        }
        self.take_log(log, revision, now);
    }

    fn on_base(&mut self, base: ConfigBase, now: Instant) {
        let Some((log, revision)) = self.waiting_log.take() else {
            self.reads.finish(ReadEnd::Failed, &self.relay, now);
            return;
        };
        self.install(base.state, None, now);
        if log.base > self.state.number {
            self.reads.finish(ReadEnd::Failed, &self.relay, now);
            return;
        }
        self.take_log(log, revision, now);
    }

    fn take_log(&mut self, log: ConfigLog, revision: StoreRevision, now: Instant) {
        let number = log.number();
        let is_news = revision > self.revision;
        let is_taken = self.apply_all(log.changes, None, now) && self.state.number >= number;
        let end = match (is_taken, is_news) {
            (true, true) => ReadEnd::Done,
            (true, false) => ReadEnd::Repeated,
            (false, _) => ReadEnd::Failed,
        };
        self.reads.finish(end, &self.relay, now);
        if is_taken {
            self.revision = revision;
            self.confirm(now, now);
        }
    }

    fn on_offer(&mut self, from: &VmId, offer: &ConfigOffer, now: Instant) {
        if offer.number > self.state.number {
            self.pulls.hear(from, offer.number, now);
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
        self.tell(from, ConfigMessage::Push(push));
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

    /// Replaces the state by a later one.
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
            .push(FollowerEffect::InForce(self.state.number));
        self.spread(Vec::new(), from, now);
    }

    /// Applies the changes that follow the state; earlier ones are in force already.
    ///
    /// Returns whether none is refused or differs from the one in force.
    fn apply_all(&mut self, changes: Vec<ConfigChange>, from: Option<&VmId>, now: Instant) -> bool {
        let mut applied = Vec::new();
        let mut problem = None;
        for change in changes {
            if change.number <= self.state.number {
                if self.history.contradicts(&change) {
                    problem = Some(FollowerEffect::Diverged(change.number));
                    break;
                }
                continue;
            }
            if change.number != self.state.number.next() {
                break;
            }
            if let Err(error) = self.state.apply(&change) {
                problem = Some(FollowerEffect::Refused(error));
                break;
            }
            self.history.push(change.clone());
            applied.push(change);
        }
        if !applied.is_empty() {
            self.effects
                .push(FollowerEffect::InForce(self.state.number));
            self.spread(applied, from, now);
        }
        let is_fine = problem.is_none();
        self.effects.extend(problem);
        is_fine
    }

    fn take_effects(&mut self) -> Vec<FollowerEffect> {
        std::mem::take(&mut self.effects)
    }
}
