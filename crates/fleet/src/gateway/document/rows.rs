//! A configuration as it stands in its document, row by row.

use amaranthgw_core::{CallerKey, ConfigVersion, PriorityLevel, ServiceId, WorkspaceId};
use compact_str::CompactString;

use crate::gateway::{CallLimits, RouteRow, ServiceRow};

/// A workspace with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceKeys {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its keys, in the order of the document.
    pub keys: Vec<CallerKey>,
    /// Priority of its requests; `None` for that of the route.
    pub priority: Option<PriorityLevel>,
}

/// A row that can't be decoded; gateways skip it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableRow {
    /// Where it stands, such as `routes[3]`.
    pub place: CompactString,
    /// What is wrong with it.
    pub reason: CompactString,
}

/// A configuration with all its rows, also those that a [`RouteTable`](crate::gateway::RouteTable) never uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigDocument {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits on callers' connections and requests; `None` for the default ones.
    pub limits: Option<CallLimits>,
    /// Decodable routes with their places.
    pub routes: Vec<(CompactString, RouteRow)>,
    /// Decodable services with their places.
    pub services: Vec<(CompactString, ServiceId, ServiceRow)>,
    /// Decodable workspaces with their places.
    pub workspaces: Vec<(CompactString, WorkspaceKeys)>,
    /// Rows that can't be decoded.
    pub unusable: Vec<UnusableRow>,
}
