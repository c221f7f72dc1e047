//! The edits that lead from a configuration to the operators' lists.

use std::hash::Hash;

use amaranthgw_core::{EntityTable, PlanId, WorkspaceId};

use super::{ConfigEdit, PlanRow, ServingState, WorkspaceRow};
use crate::lists::OperatorLists;

/// The edits that give `current` the plans and workspaces of `lists`; what is out of service stays.
///
/// The edits are in the order of the tables: plans and workspaces that are new or changed, then
/// workspaces and plans that are in no list any more.
#[must_use]
pub fn diff(current: &ServingState, lists: &OperatorLists) -> Vec<ConfigEdit> {
    list_edits(current, &lists.plans, &lists.workspaces)
}

/// The edits that lead from the state `from` to the state `to`.
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

/// Rows of `new` that are not the same in `old`.
fn changed_rows<Id: Hash + Eq + Clone, Row: PartialEq + Clone>(
    old: &EntityTable<Id, Row>,
    new: &EntityTable<Id, Row>,
) -> Vec<(Id, Row)> {
    let changed = new.iter().filter(|(id, row)| old.get(*id) != Some(*row));
    changed.map(|(id, row)| (id.clone(), row.clone())).collect()
}

/// Identifiers of `old` that are not in `new`.
fn missing_ids<Id: Hash + Eq + Clone, Row>(
    old: &EntityTable<Id, Row>,
    new: &EntityTable<Id, Row>,
) -> Vec<Id> {
    old.ids().filter(|id| !new.contains(*id)).cloned().collect()
}
