//! Deadline-ordered queue of requests that wait for a slot of a target at its limit.

use std::time::Duration;

use amaranthgw_core::{EntityTable, SlotCount};
use tokio::time::Instant;

use super::{GateRefusal, RefusalReason, TicketNumber};

/// Requests that wait for a slot of one target.
pub type QueueTable = EntityTable<TicketNumber, QueueRow>;

/// Settings of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Expected time between two slots becoming free.
    pub slot_interval: Duration,
}

/// Waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRow {
    /// Latest start at which the answer can still meet its deadline.
    pub start_by: Instant,
    /// Relative cost of a late answer under the plan of the request; the queue refuses the request
    /// with the smallest weight.
    pub refund_weight: u32,
}

/// Request removed from the queue without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Ticket of the request.
    pub ticket: TicketNumber,
    /// Reason of the removal, which proves that the request did not run.
    pub refusal: GateRefusal,
}

/// Result of assigning a free slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueSelection {
    /// Request that gets the slot, if any waits.
    pub admitted: Option<TicketNumber>,
    /// Requests whose `start_by` had passed.
    pub refused: Vec<QueueRefusal>,
}

/// Adds a request. If not all can then start in time, or there are too many, refuses those that cost
/// least to refuse, possibly this one.
///
/// Requests start in order of `start_by`. Where one would start after its `start_by`, the cheapest
/// among it and the requests before it is refused; where the queue exceeds its capacity, the
/// cheapest of all. Requests with the smallest refund weight are the cheapest; among equals, the
/// newest.
pub fn enqueue(
    table: &mut QueueTable,
    ticket: TicketNumber,
    row: QueueRow,
    settings: &QueueSettings,
    now: Instant,
) -> Vec<QueueRefusal> {
    table.insert(ticket, row);
    let mut refusals = drop_expired(table, now);
    refusals.extend(drop_unstartable(table, settings, now));
    refusals.extend(drop_excess(table, settings));
    refusals
}

/// Removes the requests whose `start_by` has passed.
pub fn drop_expired(table: &mut QueueTable, now: Instant) -> Vec<QueueRefusal> {
    let expired = table.iter().filter(|(_, row)| row.start_by < now);
    let tickets: Vec<_> = expired.map(|(ticket, _)| *ticket).collect();
    refuse_all(table, &tickets, RefusalReason::TooLate)
}

/// Removes and returns the request that gets the next free slot.
pub fn take_next(table: &mut QueueTable, now: Instant) -> QueueSelection {
    let refused = drop_expired(table, now);
    let admitted = start_order(table).first().copied();
    if let Some(ticket) = admitted {
        table.remove(&ticket);
    }
    QueueSelection { admitted, refused }
}

fn start_order(table: &QueueTable) -> Vec<TicketNumber> {
    let mut order: Vec<_> = table
        .iter()
        .map(|(ticket, row)| (row.start_by, *ticket))
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, ticket)| ticket).collect()
}

fn drop_unstartable(
    table: &mut QueueTable,
    settings: &QueueSettings,
    now: Instant,
) -> Vec<QueueRefusal> {
    let mut kept = Vec::new();
    let mut refused = Vec::new();
    let mut start = now;
    for ticket in start_order(table) {
        kept.push(ticket);
        let can_start = table.get(&ticket).is_some_and(|row| start <= row.start_by);
        if can_start {
            start += settings.slot_interval;
        } else if let Some(position) = cheapest(table, &kept) {
            refused.push(kept.swap_remove(position));
        }
    }
    refuse_all(table, &refused, RefusalReason::TooLate)
}

fn drop_excess(table: &mut QueueTable, settings: &QueueSettings) -> Vec<QueueRefusal> {
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

/// Position of the request that costs least to refuse; the newest among equals.
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
) -> Vec<QueueRefusal> {
    let refuse = |ticket: &TicketNumber| {
        table.remove(ticket)?;
        let waiting = SlotCount::new(u32::try_from(table.len()).unwrap_or(u32::MAX));
        Some(QueueRefusal {
            ticket: *ticket,
            refusal: GateRefusal::new(reason, waiting, waiting),
        })
    };
    tickets.iter().filter_map(refuse).collect()
}
