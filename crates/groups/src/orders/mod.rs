//! Orders to engines: idempotent, fenced, retried until answered, harmless when late.
//!
//! Every order names the state it wants, so a repeated one changes nothing. An order that sets
//! what a newer one may set differently is superseded by it; if the older was sent and never
//! answered, the newer is sent once more after the older can no longer arrive.

mod engine_order;
mod fence;
mod row;
mod tables;

pub use engine_order::{EngineOrder, EngineRole, OrderSlot};
pub use fence::{OrderError, OrderFence, Result};
pub use row::{OrderRow, OrderState, OrderTiming};
pub use tables::{OrderCommand, OrderNumber, OrderSystem, OrderTables};
