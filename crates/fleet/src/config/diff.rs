//! Differences between configurations as lists of edits.

use std::hash::Hash;

use amaranthgw_core::{EntityTable, PlanId, WorkspaceId};

use super::{ConfigEdit, PlanRow, ServingState, WorkspaceRow};
use crate::lists::OperatorLists;

/// Returns the edits that give `current` the plans and workspaces of `lists`; scopes that are out
/// of service stay so.
///
/// New and changed plans and workspaces come first, then removed workspaces and removed plans.
#[must_use]
pub fn diff_lists(current: &ServingState, lists: &OperatorLists) -> Vec<ConfigEdit> {
    list_edits(current, &lists.plans, &lists.workspaces)
}

/// Returns the edits that lead from the state `from` to the state `to`.
#[must_use]
pub fn diff_states(from: &ServingState, to: &ServingState) -> Vec<ConfigEdit> {
    let mut edits = list_edits(from, &to.plans, &to.workspaces);
    let taken_out = to.outs.difference(&from.outs).cloned();
    edits.extend(taken_out.map(ConfigEdit::TakeOut));
    let brought_back = from.outs.difference(&to.outs).cloned();
    edits.extend(brought_back.map(ConfigEdit::BringBack));
    edits
}

fn list_edits(
    current: &ServingState,
    plans: &EntityTable<PlanId, PlanRow>,
    workspaces: &EntityTable<WorkspaceId, WorkspaceRow>,
) -> Vec<ConfigEdit> {
    let mut edits = Vec::new();
    for (plan, row) in changed_rows(&current.plans, plans) {
        edits.push(ConfigEdit::SetPlan { plan, row });
    }
    for (workspace, row) in changed_rows(&current.workspaces, workspaces) {
        edits.push(ConfigEdit::SetWorkspace { workspace, row });
    }
    for workspace in missing_ids(&current.workspaces, workspaces) {
        edits.push(ConfigEdit::RemoveWorkspace { workspace });
    }
    for plan in missing_ids(&current.plans, plans) {
        edits.push(ConfigEdit::RemovePlan { plan });
    }
    edits
}

/// Rows of `new` that are missing or different in `old`.
fn changed_rows<Id: Hash + Eq + Clone, Row: PartialEq + Clone>(
    old: &EntityTable<Id, Row>,
    new: &EntityTable<Id, Row>,
) -> Vec<(Id, Row)> {
    let changed = new.iter().filter(|(id, row)| old.get(*id) != Some(*row));
    changed.map(|(id, row)| (id.clone(), row.clone())).collect()
}

/// Identifiers in `old` that are missing in `new`.
fn missing_ids<Id: Hash + Eq + Clone, Row>(
    old: &EntityTable<Id, Row>,
    new: &EntityTable<Id, Row>,
) -> Vec<Id> {
    old.ids().filter(|id| !new.contains(*id)).cloned().collect()
}
