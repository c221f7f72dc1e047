//! Settings of the processes, and validated parsing of JSON documents with comments.

mod agent;
mod document;
mod entry;
mod gateway;
mod parse;
mod problem;
mod rule;
mod sidecar;

pub use agent::AgentSettings;
pub(crate) use document::JsonDocument;
pub use entry::{EntrySettings, SlotSettings};
pub use gateway::GatewaySettings;
pub(crate) use parse::{field_problem, parse_document};
pub use problem::{DocumentError, FieldPath, FieldProblem, PathPart, ProblemKind, TextPosition};
pub use rule::{FieldRange, FieldRule};
pub use sidecar::{GateSettings, RankSettings, SidecarSettings, TargetSettings};

/// Result of parsing a document.
pub type Result<T> = std::result::Result<T, DocumentError>;
