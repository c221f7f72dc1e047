//! Rank of a request among those that wait.

use amaranthgw_core::PriorityLevel;

/// Rank of a request among those that wait; a lower one goes first.
///
/// The priority of the workspace goes before that of the route, which orders the requests of workspaces
/// of equal priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRank {
    /// Priority of its workspace, or of its route if the workspace has none.
    pub first: PriorityLevel,
    /// Priority of its route.
    pub route: PriorityLevel,
}

impl CallRank {
    /// Creates the rank of a request on a route of priority `route`.
    #[must_use]
    pub fn new(workspace: Option<PriorityLevel>, route: PriorityLevel) -> Self {
        let first = workspace.unwrap_or(route);
        Self { first, route }
    }
}

impl std::fmt::Display for CallRank {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.first, self.route)
    }
}
