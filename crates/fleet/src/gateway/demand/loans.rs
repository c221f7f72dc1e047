//! Room that gateways lend each other.

use std::time::Duration;

use amaranthgw_core::{DemandShare, ServiceId, VmId};
use tokio::time::Instant;

/// Time for which room is lent; it then is the lender's again, without any message.
pub const LOAN_TIME: Duration = Duration::from_millis(1_400);

/// A share of one service's room that is lent for a time.
#[derive(Debug)]
struct RoomLoan {
    /// The other gateway.
    peer: VmId,
    service: ServiceId,
    share: DemandShare,
    until: Instant,
}

/// Loans with other gateways, either given or received.
///
/// Of several current loans with one peer for one service, only the largest counts, at either side: as
/// messages are lost, the lender can't know which of its loans the borrower holds.
#[derive(Debug, Default)]
pub(super) struct LoanTable {
    rows: Vec<RoomLoan>,
}

impl LoanTable {
    /// Adds a loan with `peer` that counts before `until`.
    pub(super) fn add(
        &mut self,
        peer: &VmId,
        service: &ServiceId,
        share: DemandShare,
        until: Instant,
    ) {
        self.rows.push(RoomLoan {
            peer: peer.clone(),
            service: service.clone(),
            share,
            until,
        });
    }

    /// Removes the loans that have ended.
    pub(super) fn forget_ended(&mut self, now: Instant) {
        self.rows.retain(|loan| loan.until > now);
    }

    /// What is lent of `service` with `peer` at `now`.
    pub(super) fn with_peer(&self, peer: &VmId, service: &ServiceId, now: Instant) -> DemandShare {
        let loans = self.current(service, now).filter(|loan| loan.peer == *peer);
        loans.map(|loan| loan.share).max().unwrap_or_default()
    }

    /// What is lent of `service` at `now`, in sum over all peers.
    pub(super) fn total(&self, service: &ServiceId, now: Instant) -> DemandShare {
        let mut peers: Vec<_> = self.current(service, now).map(|loan| &loan.peer).collect();
        peers.sort_unstable();
        peers.dedup();
        let loans = peers
            .into_iter()
            .map(|peer| self.with_peer(peer, service, now));
        loans.fold(DemandShare::NONE, DemandShare::plus)
    }

    fn current(&self, service: &ServiceId, now: Instant) -> impl Iterator<Item = &RoomLoan> {
        let is_current = move |loan: &&RoomLoan| loan.until > now && loan.service == *service;
        self.rows.iter().filter(is_current)
    }
}
