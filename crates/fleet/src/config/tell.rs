//! What a follower tells its peers.

use amaranthgw_core::{MilliSpan, VmId};
use tokio::time::Instant;

use super::{
    ConfigChange, ConfigFollower, ConfigMessage, ConfigOffer, ConfigPull, ConfigPush,
    FollowerEffect,
};

/// Gain in freshness of the store's last confirmation that is worth telling the successors.
pub const TELL_STEP: MilliSpan = MilliSpan::new(1_500);
/// Time between two offers that a node makes to its successors in turn, unasked.
pub const OFFER_INTERVAL: MilliSpan = MilliSpan::new(2_000);
/// Encoded size up to which changes are pushed unasked, in bytes; larger ones are offered.
pub const MAX_UNASKED_BYTES: usize = 4 * 1_024;

impl ConfigFollower {
    /// Tells the successors of changes that have just come into force.
    pub(super) fn spread(&mut self, changes: Vec<ConfigChange>, from: Option<&VmId>, now: Instant) {
        let push = ConfigPush {
            base: None,
            changes,
        };
        let is_small =
            serde_json::to_vec(&push).is_ok_and(|bytes| bytes.len() <= MAX_UNASKED_BYTES);
        let message = if is_small && !push.changes.is_empty() {
            ConfigMessage::Push(push)
        } else {
            self.offer(now)
        };
        self.tell_successors(&message, from);
    }

    /// Notes that at `at` the key-value service held no newer change than the one in force.
    pub(super) fn confirm(&mut self, at: Instant, now: Instant) {
        if self.confirmed_at.is_some_and(|known| known >= at) {
            return;
        }
        self.confirmed_at = Some(at);
        let is_news = self
            .told_at
            .is_none_or(|told| at >= told + TELL_STEP.duration());
        if is_news {
            self.told_at = Some(at);
            let message = self.offer(now);
            self.tell_successors(&message, None);
        }
    }

    pub(super) fn pull(&mut self, now: Instant) {
        if let Some(peer) = self.pulls.next_peer(self.relay.successors(), now) {
            let after = self.state.number;
            self.tell(&peer, ConfigMessage::Pull(ConfigPull { after }));
        }
    }

    /// Offers the number in force to the next successor, so that a lost message is made good.
    pub(super) fn offer_in_turn(&mut self, now: Instant) {
        if now < self.next_offer_at || self.relay.successors().is_empty() {
            return;
        }
        self.next_offer_at = now + OFFER_INTERVAL.duration();
        let turn = self.offer_turn % self.relay.successors().len();
        self.offer_turn = turn + 1;
        let peer = self.relay.successors()[turn].clone();
        self.offer_to(&peer, now);
    }

    pub(super) fn offer(&self, now: Instant) -> ConfigMessage {
        let never = MilliSpan::new(u64::MAX);
        ConfigMessage::Offer(ConfigOffer {
            number: self.state.number,
            age: self.age(now).unwrap_or(never),
        })
    }

    pub(super) fn offer_to(&mut self, peer: &VmId, now: Instant) {
        if self.is_synced() {
            let message = self.offer(now);
            self.tell(peer, message);
        }
    }

    pub(super) fn tell_successors(&mut self, message: &ConfigMessage, except: Option<&VmId>) {
        for peer in self.relay.successors().to_vec() {
            if Some(&peer) != except {
                self.tell(&peer, message.clone());
            }
        }
    }

    pub(super) fn tell(&mut self, peer: &VmId, message: ConfigMessage) {
        let peer = peer.clone();
        self.effects.push(FollowerEffect::Tell { peer, message });
    }
}
