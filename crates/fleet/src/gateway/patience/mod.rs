//! Patience with targets: whether a request stays with the target that has it, looks for another one
//! beside it, or ends.
//!
//! Every end of an attempt for want of progress is decided here, before the head of the answer and within
//! a stream. A search never ends the attempt that it is made for; see `docs/design/patience.md`.

mod attempt;
mod facts;
mod queue;
mod verdict;

pub use attempt::AttemptPatience;
pub use facts::{AttemptFacts, AttemptStage, GroupHealth, RunCount};
pub use queue::is_probably_queued;
pub use verdict::{EndCause, PatienceVerdict, SearchCause, StayCause};
