//! Requests, and parts of prompts, that crash the targets that begin to answer them.
//!
//! Evidence is a crash of a target together with the requests that it had accepted and not begun to
//! answer, one of which may be the cause. A request that begins proves that its parts do no harm.
//! Gateways merge each other's [`CrashReport`]s in any order; [`PartQuarantine`] derives from them
//! which combinations of parts are refused, and when one of them is tried again. [`CallQuarantine`]
//! holds one of them for parts of prompts and another for whole requests.

mod begun;
mod call;
mod crash;
mod policy;
mod request;
mod table;
mod verdict;

pub use call::{CallDigest, CallMarks, CallNews, CallQuarantine, CallVerdict, VerdictSubject};
pub use crash::{CrashReport, SuspectSet};
pub use request::request_mark;
pub use table::{PartQuarantine, PartVerdict, QuarantineDigest, QuarantineNews};
pub use verdict::RefusedParts;
