//! The configuration in force at a node.

use std::collections::{BTreeMap, BTreeSet};

use amaranthgw_core::{
    ChangeNumber, DomainId, EntityTable, MilliSpan, PlanId, RequestRate, ServiceId, SlotCount,
    VmId, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use super::{ConfigChange, ConfigEdit, ConfigError, OutScope, Result};

/// Share of answers that must be on time, in parts of 10,000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectiveShare(pub u16);

/// What a plan may use of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseRow {
    /// Requests per second of one workspace, over all entries.
    pub rate: RequestRate,
    /// Requests of one workspace in flight at once, over all entries.
    pub in_flight: SlotCount,
}

/// A plan: its service level and what it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanRow {
    /// Time within which an answer must be whole.
    pub deadline: MilliSpan,
    /// Time within which the first chunk of a streamed answer must arrive.
    pub first_token: MilliSpan,
    /// Longest time between two chunks of a streamed answer.
    pub token_gap: MilliSpan,
    /// Share of answers that must be on time.
    pub objective: ObjectiveShare,
    /// What one late answer costs relative to the other plans; more is dearer.
    pub refund_weight: u32,
    /// Services the plan may use.
    pub uses: EntityTable<ServiceId, UseRow>,
}

/// A workspace and its plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// The plan it subscribes to.
    pub plan: PlanId,
}

/// The whole configuration after a change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServingState {
    /// Number of the last change applied; 0 is the empty configuration.
    pub number: ChangeNumber,
    /// Plans.
    pub plans: EntityTable<PlanId, PlanRow>,
    /// Workspaces.
    pub workspaces: EntityTable<WorkspaceId, WorkspaceRow>,
    /// What operators have taken out of service.
    pub outs: BTreeSet<OutScope>,
}

impl ServingState {
    /// Applies `change` as a whole, or leaves the state as it was.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::OutOfOrder`] unless `change` follows the last one applied, and
    /// another [`ConfigError`] where the result would not be valid.
    pub fn apply(&mut self, change: &ConfigChange) -> Result<()> {
        if change.number != self.number.next() {
            let (current, offered) = (self.number, change.number);
            return Err(ConfigError::OutOfOrder { current, offered });
        }
        self.check_edits(&change.edits)?;
        for edit in &change.edits {
            self.apply_edit(edit);
        }
        self.number = change.number;
        Ok(())
    }

    /// Checks that the state would be valid with `edits`, provided that it is valid now.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] where the result would not be valid.
    pub fn check_edits(&self, edits: &[ConfigEdit]) -> Result<()> {
        let outcome = EditOutcome::new(edits);
        for (workspace, plan) in &outcome.workspaces {
            let Some(plan) = plan else { continue };
            if !outcome.has_plan(self, plan) {
                return Err(unknown_plan(workspace, plan));
            }
        }
        if outcome.plans.values().all(|is_kept| *is_kept) {
            return Ok(());
        }
        for (workspace, row) in self.workspaces.iter() {
            let is_untouched = !outcome.workspaces.contains_key(workspace);
            if is_untouched && !outcome.has_plan(self, &row.plan) {
                return Err(unknown_plan(workspace, &row.plan));
            }
        }
        Ok(())
    }

    /// Checks the whole state.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] where the state is not valid.
    pub fn check(&self) -> Result<()> {
        let missing = |(_, row): &(_, &WorkspaceRow)| !self.plans.contains(&row.plan);
        let unknown = self.workspaces.iter().find(missing);
        unknown.map_or(Ok(()), |(workspace, row)| {
            Err(unknown_plan(workspace, &row.plan))
        })
    }

    /// Whether operators have taken out the VM or its failure domain.
    #[must_use]
    pub fn is_out(&self, vm: &VmId, domain: &DomainId) -> bool {
        self.outs.contains(&OutScope::Vm(vm.clone()))
            || self.outs.contains(&OutScope::Domain(domain.clone()))
    }

    fn apply_edit(&mut self, edit: &ConfigEdit) {
        match edit.clone() {
            ConfigEdit::SetPlan { plan, row } => drop(self.plans.insert(plan, row)),
            ConfigEdit::RemovePlan { plan } => drop(self.plans.remove(&plan)),
            ConfigEdit::SetWorkspace { workspace, row } => {
                drop(self.workspaces.insert(workspace, row));
            }
            ConfigEdit::RemoveWorkspace { workspace } => drop(self.workspaces.remove(&workspace)),
            ConfigEdit::TakeOut(scope) => drop(self.outs.insert(scope)),
            ConfigEdit::BringBack(scope) => drop(self.outs.remove(&scope)),
        }
    }
}

/// What edits leave behind of the rows they name.
struct EditOutcome<'a> {
    /// Whether each named plan exists afterwards.
    plans: BTreeMap<&'a PlanId, bool>,
    /// The plan of each named workspace afterwards; `None` where the workspace is removed.
    workspaces: BTreeMap<&'a WorkspaceId, Option<&'a PlanId>>,
}

impl<'a> EditOutcome<'a> {
    fn new(edits: &'a [ConfigEdit]) -> Self {
        let (mut plans, mut workspaces) = (BTreeMap::new(), BTreeMap::new());
        for edit in edits {
            match edit {
                ConfigEdit::SetPlan { plan, .. } => {
                    plans.insert(plan, true);
                }
                ConfigEdit::RemovePlan { plan } => {
                    plans.insert(plan, false);
                }
                ConfigEdit::SetWorkspace { workspace, row } => {
                    workspaces.insert(workspace, Some(&row.plan));
                }
                ConfigEdit::RemoveWorkspace { workspace } => {
                    workspaces.insert(workspace, None);
                }
                ConfigEdit::TakeOut(_) | ConfigEdit::BringBack(_) => {}
            }
        }
        Self { plans, workspaces }
    }

    fn has_plan(&self, state: &ServingState, plan: &PlanId) -> bool {
        let named = self.plans.get(plan).copied();
        named.unwrap_or_else(|| state.plans.contains(plan))
    }
}

fn unknown_plan(workspace: &WorkspaceId, plan: &PlanId) -> ConfigError {
    let (workspace, plan) = (workspace.clone(), plan.clone());
    ConfigError::UnknownPlan { workspace, plan }
}
