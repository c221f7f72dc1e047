//! The bytes that a process holds for others: bodies of requests and answers, and parts of events.
//!
//! Each body is a reservation, which grows before more of the body is read. All reservations together
//! stay within the limit of the process, and those of one holder, such as a target or a workspace,
//! within a share of it, so that one faulty peer can't take what the others need. Where bytes are
//! short, reservations wait, and the largest one that makes no progress is evicted. What is complete and
//! written to a caller is the caller's, who has to take it at a least pace.

mod budget;
mod holder;
mod pace;

pub use budget::{ByteBudget, GrowthVerdict, HolderUse, ReservationId};
pub use holder::ByteHolder;
pub use pace::{PaceVerdict, ReaderPace};
