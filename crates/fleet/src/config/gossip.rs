//! Messages by which a follower relays the configuration to its peers.

use amaranthgw_core::{MilliSpan, VmId};
use tokio::time::Instant;

use super::{
    ConfigChange, ConfigFollower, ConfigMessage, ConfigOffer, ConfigPull, ConfigPush,
    FollowerEffect,
};

/// A new confirmation is announced to the successors if it is at least this much later than the
/// last announced one.
pub const MIN_CONFIRMATION_ADVANCE: MilliSpan = MilliSpan::new(1_500);
/// Interval of the unsolicited offers, which go to one successor after the other.
pub const OFFER_INTERVAL: MilliSpan = MilliSpan::new(2_000);
/// Encoded size up to which changes are pushed unsolicited, in bytes; larger ones are offered.
pub const MAX_UNSOLICITED_BYTES: usize = 4 * 1_024;

impl ConfigFollower {
    /// Notifies the successors, except the peer `from`, of the changes just applied: pushes them if
    /// they are small, otherwise offers the new number.
    pub(super) fn gossip(&mut self, changes: Vec<ConfigChange>, from: Option<&VmId>, now: Instant) {
        let push = ConfigPush {
            base: None,
            changes,
        };
        let is_small =
            serde_json::to_vec(&push).is_ok_and(|bytes| bytes.len() <= MAX_UNSOLICITED_BYTES);
        let message = if is_small && !push.changes.is_empty() {
            ConfigMessage::Push(push)
        } else {
            self.offer_message(now)
        };
        self.send_to_successors(&message, from);
    }

    /// Records that at `at` the key-value service contained no newer change than the applied one.
    pub(super) fn confirm(&mut self, at: Instant, now: Instant) {
        if self.confirmed_at.is_some_and(|known| known >= at) {
            return;
        }
        self.confirmed_at = Some(at);
        let is_newer = self
            .announced_at
            .is_none_or(|announced| at >= announced + MIN_CONFIRMATION_ADVANCE.duration());
        if is_newer {
            self.announced_at = Some(at);
            let message = self.offer_message(now);
            self.send_to_successors(&message, None);
        }
    }

    pub(super) fn pull(&mut self, now: Instant) {
        if let Some(peer) = self.pulls.next_peer(self.relay.successors(), now) {
            let after = self.state.number;
            self.send(&peer, ConfigMessage::Pull(ConfigPull { after }));
        }
    }

    /// Offers the applied number to the next successor in turn, so that one that lost a message
    /// learns of the change.
    pub(super) fn offer_to_next(&mut self, now: Instant) {
        if now < self.next_offer_at || self.relay.successors().is_empty() {
            return;
        }
        self.next_offer_at = now + OFFER_INTERVAL.duration();
        let turn = self.next_offer_index % self.relay.successors().len();
        self.next_offer_index = turn + 1;
        let peer = self.relay.successors()[turn].clone();
        self.offer_to(&peer, now);
    }

    /// Creates an offer of the applied number.
    pub(super) fn offer_message(&self, now: Instant) -> ConfigMessage {
        let never = MilliSpan::new(u64::MAX);
        ConfigMessage::Offer(ConfigOffer {
            number: self.state.number,
            age: self.age(now).unwrap_or(never),
        })
    }

    /// Sends an offer to `peer`; does nothing before the first configuration.
    pub(super) fn offer_to(&mut self, peer: &VmId, now: Instant) {
        if self.is_synced() {
            let message = self.offer_message(now);
            self.send(peer, message);
        }
    }

    pub(super) fn send_to_successors(&mut self, message: &ConfigMessage, except: Option<&VmId>) {
        for peer in self.relay.successors().to_vec() {
            if Some(&peer) != except {
                self.send(&peer, message.clone());
            }
        }
    }

    pub(super) fn send(&mut self, peer: &VmId, message: ConfigMessage) {
        let peer = peer.clone();
        self.effects.push(FollowerEffect::Send { peer, message });
    }
}
