//! Reconciles the local engine with the proposals that the rank has accepted and committed.

use amaranthgw_core::FencingNumber;
use tokio::time::Instant;

use super::member::send;
use super::{
    EngineHold, EngineView, GroupEffect, GroupMessage, MapOrder, MapProposal, MemberPhase,
    RankMember,
};

impl RankMember {
    /// Sends the orders whose effect is missing from the last engine view, and the report, promise
    /// or refusal that follows from it. Starts recovery if the engine missed the step of the
    /// committed map.
    pub(super) fn reconcile(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        let Some(view) = self.engine.clone() else {
            return;
        };
        match self.phase {
            MemberPhase::Recovering => {}
            MemberPhase::Joined => {
                self.reconcile_report(&view, now, out);
                self.reconcile_promise(&view, now, out);
            }
            MemberPhase::Active => {
                self.reconcile_promise(&view, now, out);
                self.reconcile_switch(&view, now, out);
            }
        }
    }

    fn reconcile_report(&mut self, view: &EngineView, now: Instant, out: &mut Vec<GroupEffect>) {
        let hold = EngineHold::Generation(self.joined);
        if !view.has_hold(hold) {
            return self.send_order(MapOrder::Hold(hold), view, now, out);
        }
        let Some((opener, start)) = self.opener.filter(|_| self.is_report_pending) else {
            return;
        };
        self.is_report_pending = false;
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

    /// Promises the accepted proposal once the engine view shows the hold of its step.
    fn reconcile_promise(&mut self, view: &EngineView, now: Instant, out: &mut Vec<GroupEffect>) {
        let Some(doubt) = self.in_doubt.as_ref().filter(|doubt| !doubt.has_promised) else {
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
        self.send_order(MapOrder::Hold(hold), view, now, out);
    }

    fn promise(&mut self, proposal: &MapProposal, now: Instant, out: &mut Vec<GroupEffect>) {
        let delay = self
            .timing
            .staggered(self.timing.query_delay, self.identity.rank);
        if let Some(doubt) = self.in_doubt.as_mut() {
            doubt.has_promised = true;
            doubt.query_at = Some(now + delay);
        }
        send(proposal.proposer, GroupMessage::Promise(*proposal), out);
    }

    /// Orders the switch to the committed map, and releases stale holds once the engine view shows
    /// the switch.
    fn reconcile_switch(&mut self, view: &EngineView, now: Instant, out: &mut Vec<GroupEffect>) {
        let Some(committed) = self.committed else {
            return;
        };
        let has_missed_step = view.step > committed.step && !view.has_begun(&committed);
        if has_missed_step {
            return self.start_recovering(now);
        }
        if !view.has_switch(&committed) {
            return self.send_order(MapOrder::Switch(committed), view, now, out);
        }
        let current = self
            .in_doubt
            .as_ref()
            .map(|doubt| EngineHold::Proposal(doubt.proposal));
        let stale = view.holds.iter().filter(|hold| Some(**hold) != current);
        let releases: Vec<MapOrder> = stale.copied().map(MapOrder::Release).collect();
        self.send_orders(&releases, view, now, out);
    }

    fn send_order(
        &mut self,
        order: MapOrder,
        view: &EngineView,
        now: Instant,
        out: &mut Vec<GroupEffect>,
    ) {
        self.send_orders(&[order], view, now, out);
    }

    /// Sends orders, unless the last batch began with the same order and was sent less than a retry
    /// interval ago.
    fn send_orders(
        &mut self,
        orders: &[MapOrder],
        view: &EngineView,
        now: Instant,
        out: &mut Vec<GroupEffect>,
    ) {
        let Some(first) = orders.first().copied() else {
            return;
        };
        let retry = self.timing.retry_interval.duration();
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
