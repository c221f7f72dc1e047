//! Calls between nodes, and the reports that nodes give to operators.

mod link;
mod service;

pub use link::{GrpcPeerLink, PeerError, PeerLink, Result};
pub use service::{NodeReporter, PeerMessage, PeerService, ReportKind, WarningSink};
