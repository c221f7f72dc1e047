//! Orders to engines, which are idempotent, fenced and retried until they are answered or
//! superseded, their deadline passes or their lease is no longer held.
//!
//! An order states the target state, so that a repeated order has no further effect. A newer order
//! for the same slot supersedes an older one, which may still arrive after the newer one was
//! answered. The newer order is therefore sent once more as soon as no transmission of the older
//! one can arrive, which restores the newer state if the engine applied the older order late.

mod engine_order;
mod fence;
mod row;
mod tables;

pub use engine_order::{EngineOrder, EngineRole, OrderSlot};
pub use fence::{OrderError, OrderFence, Result};
pub use row::{OrderRow, OrderState, OrderTiming};
pub use tables::{OrderCommand, OrderNumber, OrderSystem, OrderTables};
