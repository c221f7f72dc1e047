//! The configuration in force at a node.

use std::collections::BTreeSet;

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
        let mut state = self.clone();
        for edit in &change.edits {
            state.apply_edit(edit);
        }
        state.check()?;
        state.number = change.number;
        *self = state;
        Ok(())
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

    fn check(&self) -> Result<()> {
        for (workspace, row) in self.workspaces.iter() {
            if !self.plans.contains(&row.plan) {
                let (workspace, plan) = (workspace.clone(), row.plan.clone());
                return Err(ConfigError::UnknownPlan { workspace, plan });
            }
        }
        Ok(())
    }
}
