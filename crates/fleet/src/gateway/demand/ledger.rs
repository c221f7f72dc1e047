//! Demand, room and loans of this gateway.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_core::{CallUrgency, DemandShare, DemandWork, ServiceId, StartMark, VmId};
use tokio::time::Instant;

use super::loans::{LOAN_TIME, LoanTable};
use super::meter::DemandMeter;
use super::report::{
    DemandAnswer, DemandReport, GrantedLoan, MAX_SERVICES, ReportRefusal, ReportVersion, Result,
    ServiceDemand,
};
use super::table::DemandTable;

/// Fraction of its own part that a gateway never lends.
const LEAST_PART: f64 = 0.25;
/// Time before its end at which a borrower gives up a loan, as shares take effect at the next tick.
const EARLY_END: Duration = Duration::from_millis(100);
/// Peers that a gateway with waiting work asks within [`LOAN_TIME`].
const PEERS_PER_LOAN_TIME: f64 = 17.0;
/// Room that a lender can give at most: less than the own part of one of two gateways.
const MAX_LOAN: DemandShare = DemandShare::new(500_000);

/// A report that wasn't answered yet.
#[derive(Debug)]
struct OpenReport {
    number: u64,
    asked_at: Instant,
    services: Vec<ServiceId>,
}

#[derive(Debug)]
struct LedgerState {
    version: ReportVersion,
    meter: DemandMeter,
    table: DemandTable,
    lent: LoanTable,
    borrowed: LoanTable,
    open: Vec<OpenReport>,
    /// Services whose room is divided.
    services: BTreeSet<ServiceId>,
    /// Gateways that share the room.
    gateways: u32,
    /// Own part of the room, before loans.
    part: DemandShare,
    /// End of loans that an earlier process on this VM may have given.
    starts_at: Instant,
    /// Time until which work counts as waiting.
    waits_until: Option<Instant>,
}

/// Demand of a gateway, what it knows of that of others, and its share of the room.
///
/// Updated by all threads of the process; no call waits.
#[derive(Debug)]
pub struct DemandLedger {
    state: Mutex<LedgerState>,
}

impl DemandLedger {
    /// Creates the ledger of a process that started at `now`; `started` tells it from earlier ones.
    #[must_use]
    pub fn new(started: StartMark, now: Instant) -> Self {
        let version = ReportVersion { started, number: 0 };
        Self {
            state: Mutex::new(LedgerState {
                version,
                meter: DemandMeter::default(),
                table: DemandTable::new(),
                lent: LoanTable::default(),
                borrowed: LoanTable::default(),
                open: Vec::new(),
                services: BTreeSet::new(),
                gateways: 1,
                part: DemandShare::NONE,
                starts_at: now + LOAN_TIME,
                waits_until: None,
            }),
        }
    }

    /// Counts a request that arrived at `now`.
    pub fn record_arrival(
        &self,
        service: &ServiceId,
        urgency: CallUrgency,
        work: DemandWork,
        now: Instant,
    ) {
        let mut state = self.state();
        state.meter.add_arrival(service, urgency, work, now);
    }

    pub(super) fn add_waiting(
        &self,
        service: &ServiceId,
        urgency: CallUrgency,
        work: DemandWork,
        now: Instant,
    ) {
        let mut state = self.state();
        state.meter.add_waiting(service, urgency, work, now);
    }

    pub(super) fn remove_waiting(
        &self,
        service: &ServiceId,
        urgency: CallUrgency,
        work: DemandWork,
    ) {
        let mut state = self.state();
        state.meter.remove_waiting(service, urgency, work);
    }

    /// Sets the number of gateways that share the room, and how many of them, with this one, were heard of
    /// lately.
    ///
    /// Gateways that were not heard of keep a whole part each, as they may go on beyond a cut. Only
    /// those who hear more than half of all take half of the silent ones' parts: at most one side of
    /// a cut does.
    pub fn set_gateways(&self, gateways: u32, heard: u32) {
        let (gateways, heard) = (gateways.max(1), heard.clamp(1, gateways.max(1)));
        let counted = if u64::from(heard) * 2 > u64::from(gateways) {
            f64::midpoint(f64::from(gateways), f64::from(heard))
        } else {
            f64::from(gateways)
        };
        let mut state = self.state();
        state.gateways = gateways;
        state.part = DemandShare::of_fraction(1.0 / counted);
    }

    /// Sets the services whose room is divided; for others no room is asked for or lent.
    pub fn set_services(&self, services: BTreeSet<ServiceId>) {
        self.state().services = services;
    }

    /// Removes what is over at `now`.
    pub fn forget_old(&self, now: Instant) {
        let mut state = self.state();
        state.meter.forget_idle(now);
        state.table.forget_old(now);
        state.lent.forget_ended(now);
        state.borrowed.forget_ended(now);
        let is_recent = |report: &OpenReport| now < report.asked_at + LOAN_TIME;
        state.open.retain(is_recent);
    }

    /// Whether requests wait here, or did within the last [`LOAN_TIME`].
    #[must_use]
    pub fn is_short_of_room(&self, now: Instant) -> bool {
        self.state().is_short_of_room(now)
    }

    /// The report with which a peer is asked for room at `now`; `None` while nothing waits.
    #[must_use]
    pub fn ask(&self, now: Instant) -> Option<DemandReport> {
        let mut state = self.state();
        if !state.is_short_of_room(now) {
            return None;
        }
        let services = state.pressed_services();
        let report = state.report(&services, now);
        let open = OpenReport {
            number: report.version.number,
            asked_at: now,
            services,
        };
        state.open.push(open);
        Some(report)
    }

    /// Answers the `report` of the gateway `peer` with what this one lends it.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportRefusal`] if the report is not to be applied.
    pub fn answer(&self, peer: &VmId, report: &DemandReport, now: Instant) -> Result<DemandAnswer> {
        let mut state = self.state();
        state.table.adopt(peer, report, now)?;
        let mut loans = Vec::new();
        for demand in &report.services {
            let share = state.offer(peer, demand, now);
            if share > DemandShare::NONE {
                state
                    .lent
                    .add(peer, &demand.service, share, now + LOAN_TIME);
                let service = demand.service.clone();
                loans.push(GrantedLoan { service, share });
            }
        }
        let services: Vec<_> = report
            .services
            .iter()
            .map(|row| row.service.clone())
            .collect();
        Ok(DemandAnswer {
            asked: report.version,
            loans,
            report: state.report(&services, now),
        })
    }

    /// Applies the answer of the gateway `peer` to a report of this one.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportRefusal`] if the answer is not to be applied.
    pub fn adopt(&self, peer: &VmId, answer: &DemandAnswer, now: Instant) -> Result<()> {
        let mut state = self.state();
        let open = state.open_report(answer, now)?;
        match state.table.adopt(peer, &answer.report, now) {
            // A later report of the peer has overtaken its answer.
            Ok(()) | Err(ReportRefusal::Old) => {}
            Err(refusal) => return Err(refusal),
        }
        // Counted from the question: the lender answered later, so the loan ends here before it ends there.
        let until = open.asked_at + LOAN_TIME.saturating_sub(EARLY_END);
        for loan in &answer.loans {
            state.borrowed.add(peer, &loan.service, loan.share, until);
        }
        Ok(())
    }

    /// Share of the room of `service` at `now`.
    #[must_use]
    pub fn share(&self, service: &ServiceId, now: Instant) -> DemandShare {
        self.state().share(service, now)
    }

    /// Shares of the room of all services whose room is divided, at `now`.
    #[must_use]
    pub fn shares(&self, now: Instant) -> HashMap<ServiceId, DemandShare> {
        let state = self.state();
        let share = |service: &ServiceId| (service.clone(), state.share(service, now));
        state.services.iter().map(share).collect()
    }

    fn state(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerState {
    fn is_short_of_room(&mut self, now: Instant) -> bool {
        let mut services = self.services.iter();
        if services.any(|service| self.meter.waiting(service) > 0) {
            self.waits_until = Some(now + LOAN_TIME);
        }
        self.waits_until.is_some_and(|until| now < until)
    }

    /// The services with the most waiting work.
    fn pressed_services(&self) -> Vec<ServiceId> {
        let mut services: Vec<_> = self.services.iter().collect();
        services.sort_by_key(|service| std::cmp::Reverse(self.meter.waiting(service)));
        services.into_iter().take(MAX_SERVICES).cloned().collect()
    }

    fn report(&mut self, services: &[ServiceId], now: Instant) -> DemandReport {
        self.version.number += 1;
        let services = services.iter().map(|service| {
            let levels = self.meter.demand(service, now);
            let wanted = self.table.part_of(service, &levels, self.gateways, now);
            ServiceDemand {
                service: service.clone(),
                held: self.share(service, now),
                wanted: DemandShare::of_fraction(wanted).max(self.least_part()),
                levels,
            }
        });
        DemandReport {
            version: self.version,
            services: services.collect(),
        }
    }

    /// Part that isn't lent, and that a gateway has whose predecessor may have lent the rest.
    fn least_part(&self) -> DemandShare {
        DemandShare::of_fraction(self.part.fraction() * LEAST_PART)
    }

    /// What to lend the gateway `peer`, in place of earlier loans to it.
    fn offer(&self, peer: &VmId, demand: &ServiceDemand, now: Instant) -> DemandShare {
        let service = &demand.service;
        if now < self.starts_at || !self.services.contains(service) {
            return DemandShare::NONE;
        }
        let levels = self.meter.demand(service, now);
        let own = self.table.part_of(service, &levels, self.gateways, now);
        let kept = DemandShare::of_fraction(own).max(self.least_part());
        let spare = self.part.minus(kept);
        let lent = self.lent.with_peer(peer, service, now);
        let lent_to_others = self.lent.total(service, now).minus(lent);
        let lacking = demand.wanted.minus(demand.held.minus(lent));
        let lacking_at_others = self.table.lacking(service, peer, now);
        let portion = lacking.fraction() / (lacking.fraction() + lacking_at_others);
        let others = f64::from(self.gateways.saturating_sub(1));
        // A peer asks only some gateways while a loan lasts.
        let spread = (others / PEERS_PER_LOAN_TIME).max(1.0);
        let portion = (portion * spread).min(1.0);
        if !portion.is_finite() {
            return DemandShare::NONE;
        }
        DemandShare::of_fraction(spare.fraction() * portion)
            .min(lacking)
            .min(spare.minus(lent_to_others))
    }

    fn share(&self, service: &ServiceId, now: Instant) -> DemandShare {
        let part = if now < self.starts_at {
            self.least_part()
        } else {
            self.part
        };
        let own = part.minus(self.lent.total(service, now));
        let share = own.plus(self.borrowed.total(service, now));
        share.min(DemandShare::WHOLE)
    }

    /// Takes the report that `answer` answers.
    fn open_report(&mut self, answer: &DemandAnswer, now: Instant) -> Result<OpenReport> {
        let is_asked = |report: &OpenReport| {
            answer.asked.started == self.version.started && report.number == answer.asked.number
        };
        let found = self.open.iter().position(is_asked);
        let open = found.map(|at| self.open.swap_remove(at));
        let open = open.filter(|report| now < report.asked_at + LOAN_TIME);
        let open = open.ok_or(ReportRefusal::NotAsked)?;
        let is_known = |loan: &GrantedLoan| open.services.contains(&loan.service);
        if !answer.loans.iter().all(is_known) {
            return Err(ReportRefusal::NotAsked);
        }
        let is_too_large = |loan: &GrantedLoan| loan.share > MAX_LOAN;
        if answer.loans.len() > MAX_SERVICES || answer.loans.iter().any(is_too_large) {
            return Err(ReportRefusal::TooLarge);
        }
        Ok(open)
    }
}
