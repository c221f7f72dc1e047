//! The queue in front of a full target: who waits, who is refused, who is next.

use std::time::Duration;

use amaranthgw_core::{EntityTable, SlotCount};
use tokio::time::Instant;

use super::{GateRefusal, RefusalReason, TicketNumber};

/// Requests that wait for a slot of one target.
pub type QueueTable = EntityTable<TicketNumber, QueueRow>;

/// Settings of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// Requests that may wait at once.
    pub capacity: usize,
    /// Usual time between two slots becoming free.
    pub slot_gap: Duration,
}

/// One waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRow {
    /// Latest start at which the answer can still be in time.
    pub start_by: Instant,
    /// What a late or refused answer costs relative to others.
    pub refund_weight: u32,
}

/// A request taken out of the queue without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueChange {
    /// Its ticket.
    pub ticket: TicketNumber,
    /// Why, as a proof that it did not run.
    pub refusal: GateRefusal,
}

/// The request that gets the free slot, and those found expired on the way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueTurn {
    /// The request to run.
    pub admitted: Option<TicketNumber>,
    /// Requests that could no longer start in time.
    pub refused: Vec<QueueChange>,
}

/// Adds a request and refuses those, perhaps itself, that cost least to refuse.
///
/// Requests start in order of their latest start. Where that order would start one too late, or
/// the queue is over its capacity, the one with the smallest refund weight goes, the youngest
/// first among equals.
pub fn enqueue(
    table: &mut QueueTable,
    ticket: TicketNumber,
    row: QueueRow,
    settings: &QueueSettings,
    now: Instant,
) -> Vec<QueueChange> {
    table.insert(ticket, row);
    let mut changes = drop_expired(table, now);
    changes.extend(drop_unreachable(table, settings, now));
    changes.extend(drop_surplus(table, settings));
    changes
}

/// Removes the requests whose latest start has passed.
pub fn drop_expired(table: &mut QueueTable, now: Instant) -> Vec<QueueChange> {
    let expired = table.iter().filter(|(_, row)| row.start_by < now);
    let tickets: Vec<_> = expired.map(|(ticket, _)| *ticket).collect();
    refuse_all(table, &tickets, RefusalReason::TooLate)
}

/// Takes the request that is to use a slot that has become free.
pub fn take_next(table: &mut QueueTable, now: Instant) -> QueueTurn {
    let refused = drop_expired(table, now);
    let admitted = start_order(table).first().copied();
    if let Some(ticket) = admitted {
        table.remove(&ticket);
    }
    QueueTurn { admitted, refused }
}

fn start_order(table: &QueueTable) -> Vec<TicketNumber> {
    let mut order: Vec<_> = table
        .iter()
        .map(|(ticket, row)| (row.start_by, *ticket))
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, ticket)| ticket).collect()
}

fn drop_unreachable(
    table: &mut QueueTable,
    settings: &QueueSettings,
    now: Instant,
) -> Vec<QueueChange> {
    let mut kept = Vec::new();
    let mut refused = Vec::new();
    let mut start = now;
    for ticket in start_order(table) {
        kept.push(ticket);
        let is_reachable = table.get(&ticket).is_some_and(|row| start <= row.start_by);
        if is_reachable {
            start += settings.slot_gap;
        } else if let Some(position) = cheapest(table, &kept) {
            refused.push(kept.swap_remove(position));
        }
    }
    refuse_all(table, &refused, RefusalReason::TooLate)
}

fn drop_surplus(table: &mut QueueTable, settings: &QueueSettings) -> Vec<QueueChange> {
    let mut refused = Vec::new();
    while table.len() > settings.capacity {
        let tickets: Vec<_> = table.ids().copied().collect();
        let Some(position) = cheapest(table, &tickets) else {
            break;
        };
        let ticket = tickets[position];
        refused.extend(refuse_all(table, &[ticket], RefusalReason::QueueFull));
    }
    refused
}

/// Position of the request that costs least to refuse; the youngest of equals.
fn cheapest(table: &QueueTable, tickets: &[TicketNumber]) -> Option<usize> {
    let cost = |ticket: &TicketNumber| {
        let weight = table.get(ticket).map_or(0, |row| row.refund_weight);
        (weight, std::cmp::Reverse(*ticket))
    };
    let positions = tickets.iter().enumerate();
    positions
        .min_by_key(|(_, ticket)| cost(ticket))
        .map(|(position, _)| position)
}

fn refuse_all(
    table: &mut QueueTable,
    tickets: &[TicketNumber],
    reason: RefusalReason,
) -> Vec<QueueChange> {
    let refuse = |ticket: &TicketNumber| {
        table.remove(ticket)?;
        let waiting = SlotCount::new(u32::try_from(table.len()).unwrap_or(u32::MAX));
        Some(QueueChange {
            ticket: *ticket,
            refusal: GateRefusal::new(reason, waiting, waiting),
        })
    };
    tickets.iter().filter_map(refuse).collect()
}
