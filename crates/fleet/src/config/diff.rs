//! The edits that lead from a configuration to the operators' lists.

use super::{ConfigEdit, ServingState};
use crate::lists::OperatorLists;

/// The edits that give `current` the plans and workspaces of `lists`; what is out of service stays.
///
/// The edits are in the order of the tables: plans and workspaces that are new or changed, then
/// workspaces and plans that are in no list any more.
#[must_use]
pub fn diff(current: &ServingState, lists: &OperatorLists) -> Vec<ConfigEdit> {
    let mut edits = Vec::new();
    for (plan, row) in lists.plans.iter() {
        if current.plans.get(plan) != Some(row) {
            let (plan, row) = (plan.clone(), row.clone());
            edits.push(ConfigEdit::SetPlan { plan, row });
        }
    }
    for (workspace, row) in lists.workspaces.iter() {
        if current.workspaces.get(workspace) != Some(row) {
            let (workspace, row) = (workspace.clone(), row.clone());
            edits.push(ConfigEdit::SetWorkspace { workspace, row });
        }
    }
    for workspace in current.workspaces.ids() {
        if !lists.workspaces.contains(workspace) {
            let workspace = workspace.clone();
            edits.push(ConfigEdit::RemoveWorkspace { workspace });
        }
    }
    for plan in current.plans.ids() {
        if !lists.plans.contains(plan) {
            edits.push(ConfigEdit::RemovePlan { plan: plan.clone() });
        }
    }
    edits
}
