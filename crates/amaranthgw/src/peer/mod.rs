//! Messages between nodes, and what operators ask of them.

mod link;
mod service;

pub use link::{GrpcPeerLink, PeerError, PeerLink, Result};
pub use service::{NodeReporter, PeerService, PeerTell, ReportKind, WarningSink};
