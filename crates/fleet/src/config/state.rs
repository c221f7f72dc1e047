//! Configuration state that a node applies changes to.

use std::collections::{BTreeMap, BTreeSet};

use amaranthgw_core::{
    ChangeNumber, DomainId, EntityTable, MilliSpan, PlanId, RequestRate, ServiceId, SlotCount,
    VmId, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use super::{ConfigChange, ConfigEdit, ConfigError, OutScope, Result};

/// Fraction of answers that must be on time, in parts per 10,000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OnTimeObjective(pub u16);

/// Limits of a plan on one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLimitRow {
    /// Maximum requests per second of one workspace over all entries.
    pub rate: RequestRate,
    /// Maximum requests in flight of one workspace over all entries.
    pub in_flight: SlotCount,
}

/// Service level and service limits of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanRow {
    /// Time within which an answer must be complete.
    pub deadline: MilliSpan,
    /// Time within which the first chunk of a streamed answer must arrive.
    pub first_token: MilliSpan,
    /// Longest allowed time between two chunks of a streamed answer.
    pub token_gap: MilliSpan,
    /// Fraction of answers that must be on time.
    pub objective: OnTimeObjective,
    /// Relative cost of one late answer, compared with other plans.
    pub refund_weight: u32,
    /// Limits by service; the plan may use no other service.
    pub uses: EntityTable<ServiceId, ServiceLimitRow>,
}

/// Subscription of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// Plan that the workspace subscribes to.
    pub plan: PlanId,
}

/// Complete configuration after a change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServingState {
    /// Number of the last applied change; 0 stands for the empty configuration.
    pub number: ChangeNumber,
    /// Plans by identifier.
    pub plans: EntityTable<PlanId, PlanRow>,
    /// Workspaces by identifier.
    pub workspaces: EntityTable<WorkspaceId, WorkspaceRow>,
    /// VMs and failure domains that operators have taken out of service.
    pub outs: BTreeSet<OutScope>,
}

impl ServingState {
    /// Applies `change` atomically; an invalid change leaves the state unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::OutOfOrder`] unless `change` follows the last applied one, and
    /// another [`ConfigError`] if the resulting state would not be valid.
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

    /// Checks that the state, if it is valid now, would be valid after `edits`.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the resulting state would not be valid.
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

    /// Checks that the plan of every workspace exists.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the state is not valid.
    pub fn check(&self) -> Result<()> {
        let missing = |(_, row): &(_, &WorkspaceRow)| !self.plans.contains(&row.plan);
        let unknown = self.workspaces.iter().find(missing);
        unknown.map_or(Ok(()), |(workspace, row)| {
            Err(unknown_plan(workspace, &row.plan))
        })
    }

    /// Whether operators have taken the VM or its failure domain out of service.
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

/// Net effect of a list of edits on the rows that they name.
struct EditOutcome<'a> {
    /// Whether each named plan exists after the edits.
    plans: BTreeMap<&'a PlanId, bool>,
    /// Plan of each named workspace after the edits; `None` if the workspace is removed.
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
