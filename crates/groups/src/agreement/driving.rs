//! Brings the own engine to what the rank has promised and committed.

use amaranthgw_core::FencingNumber;
use tokio::time::Instant;

use super::member::send;
use super::{
    EngineHold, EngineView, GroupEffect, GroupMessage, MapOrder, MapProposal, MemberPhase,
    RankMember,
};

impl RankMember {
    /// Gives the orders that the last view of the engine still lacks.
    pub(super) fn drive(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        let Some(view) = self.engine.clone() else {
            return;
        };
        match self.phase {
            MemberPhase::Recovering => {}
            MemberPhase::Joined => {
                self.drive_report(&view, now, out);
                self.drive_promise(&view, now, out);
            }
            MemberPhase::Active => {
                self.drive_promise(&view, now, out);
                self.drive_switch(&view, now, out);
            }
        }
    }

    fn drive_report(&mut self, view: &EngineView, now: Instant, out: &mut Vec<GroupEffect>) {
        let hold = EngineHold::Generation(self.joined);
        if !view.has_hold(hold) {
            return self.order(MapOrder::Hold(hold), view, now, out);
        }
        let Some((opener, start)) = self.opener.filter(|_| self.is_report_due) else {
            return;
        };
        self.is_report_due = false;
        let report = self.report(view);
        send(
            opener,
            GroupMessage::Report {
                generation: self.joined,
                start,
                report,
            },
            out,
        );
    }

    /// Promises a proposal only when the engine is seen to hold its step.
    fn drive_promise(&mut self, view: &EngineView, now: Instant, out: &mut Vec<GroupEffect>) {
        let Some(doubt) = self.doubt.as_ref().filter(|doubt| !doubt.is_promised) else {
            return;
        };
        let proposal = doubt.proposal;
        if proposal.generation != self.joined {
            return;
        }
        if !view.has_loaded(proposal.version) {
            return out.push(GroupEffect::LoadMap(proposal.version));
        }
        let hold = EngineHold::Proposal(proposal);
        if view.has_hold(hold) {
            return self.promise(&proposal, now, out);
        }
        if view.step > proposal.step {
            self.on_abort(&proposal, now);
            return self.refuse(proposal.proposer, &proposal, out);
        }
        self.order(MapOrder::Hold(hold), view, now, out);
    }

    fn promise(&mut self, proposal: &MapProposal, now: Instant, out: &mut Vec<GroupEffect>) {
        let pause = self.timing.staggered(self.timing.doubt, self.place.rank);
        if let Some(doubt) = self.doubt.as_mut() {
            doubt.is_promised = true;
            doubt.ask_at = Some(now + pause);
        }
        send(proposal.proposer, GroupMessage::Promise(*proposal), out);
    }

    /// Switches to the committed map, and ends other holds only once the switch is seen.
    fn drive_switch(&mut self, view: &EngineView, now: Instant, out: &mut Vec<GroupEffect>) {
        let Some(committed) = self.committed else {
            return;
        };
        let is_missed = view.step > committed.step && !view.has_begun(&committed);
        if is_missed {
            return self.start_recovering(now);
        }
        if !view.has_switch(&committed) {
            return self.order(MapOrder::Switch(committed), view, now, out);
        }
        let wanted = self
            .doubt
            .as_ref()
            .map(|doubt| EngineHold::Proposal(doubt.proposal));
        let stale = view.holds.iter().filter(|hold| Some(**hold) != wanted);
        let releases: Vec<MapOrder> = stale.copied().map(MapOrder::Release).collect();
        self.order_all(&releases, view, now, out);
    }

    fn order(
        &mut self,
        order: MapOrder,
        view: &EngineView,
        now: Instant,
        out: &mut Vec<GroupEffect>,
    ) {
        self.order_all(&[order], view, now, out);
    }

    /// Gives orders, and the same ones again only after the retry time.
    fn order_all(
        &mut self,
        orders: &[MapOrder],
        view: &EngineView,
        now: Instant,
        out: &mut Vec<GroupEffect>,
    ) {
        let Some(first) = orders.first().copied() else {
            return;
        };
        let retry = self.timing.retry.duration();
        let is_repeat = |(last, at): (MapOrder, Instant)| last == first && now < at + retry;
        if self.last_order.is_some_and(is_repeat) {
            return;
        }
        self.last_order = Some((first, now));
        let (fencing, start) = (FencingNumber::new(self.joined.get()), view.start);
        let effects = orders.iter().copied();
        out.extend(effects.map(|order| GroupEffect::Order {
            order,
            fencing,
            start,
        }));
    }
}
