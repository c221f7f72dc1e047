//! Rows of the two lists and the rules for their fields.

use amaranthgw_core::{
    EntityTable, MilliSpan, PlanId, RequestRate, ServiceId, SlotCount, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::config::{OnTimeObjective, PlanRow, ServiceLimitRow, WorkspaceRow};
use crate::settings::{FieldRange, FieldRule};

/// Contents of both lists after validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorLists {
    /// Workspaces of the list of customers.
    pub workspaces: EntityTable<WorkspaceId, WorkspaceRow>,
    /// Plans of the list of plans.
    pub plans: EntityTable<PlanId, PlanRow>,
}

/// Rules for the fields of the list of customers.
pub const CUSTOMER_RULES: &[FieldRule] = &[
    FieldRule::new("customers", FieldRange::Rows),
    FieldRule::new("customers[]", FieldRange::Group),
    FieldRule::new("customers[].workspace", FieldRange::Id),
    FieldRule::new("customers[].plan", FieldRange::Id),
];

/// Rules for the fields of the list of plans.
pub const PLAN_RULES: &[FieldRule] = &[
    FieldRule::new("plans", FieldRange::Rows),
    FieldRule::new("plans[]", FieldRange::Group),
    FieldRule::new("plans[].plan", FieldRange::Id),
    FieldRule::new("plans[].deadline", TIME_RANGE),
    FieldRule::new("plans[].first_token", TIME_RANGE),
    FieldRule::new("plans[].token_gap", TIME_RANGE),
    FieldRule::new("plans[].objective", FieldRange::Number(1, 9_999)),
    FieldRule::new("plans[].refund_weight", FieldRange::Number(0, 1_000)),
    FieldRule::new("plans[].uses", FieldRange::Rows),
    FieldRule::new("plans[].uses[]", FieldRange::Group),
    FieldRule::new("plans[].uses[].service", FieldRange::Id),
    FieldRule::new("plans[].uses[].rate", RATE_RANGE),
    FieldRule::new("plans[].uses[].in_flight", FieldRange::Number(1, 1_000_000)),
];

/// Allowed deadlines and times of a stream.
const TIME_RANGE: FieldRange = FieldRange::Span(MilliSpan::new(1), MilliSpan::new(3_600_000));
const RATE_RANGE: FieldRange = FieldRange::Rate(RequestRate::new(1), RequestRate::new(1_000_000));

/// List of customers in its file format.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CustomerList {
    pub(super) customers: Vec<CustomerItem>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CustomerItem {
    pub(super) workspace: WorkspaceId,
    pub(super) plan: PlanId,
}

/// List of plans in its file format.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlanList {
    pub(super) plans: Vec<PlanItem>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlanItem {
    pub(super) plan: PlanId,
    pub(super) deadline: MilliSpan,
    pub(super) first_token: MilliSpan,
    pub(super) token_gap: MilliSpan,
    pub(super) objective: OnTimeObjective,
    pub(super) refund_weight: u32,
    pub(super) uses: Vec<UseItem>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct UseItem {
    pub(super) service: ServiceId,
    pub(super) rate: RequestRate,
    pub(super) in_flight: SlotCount,
}

impl From<CustomerList> for EntityTable<WorkspaceId, WorkspaceRow> {
    fn from(list: CustomerList) -> Self {
        let row = |item: CustomerItem| (item.workspace, WorkspaceRow { plan: item.plan });
        list.customers.into_iter().map(row).collect()
    }
}

impl From<PlanList> for EntityTable<PlanId, PlanRow> {
    fn from(list: PlanList) -> Self {
        list.plans.into_iter().map(PlanItem::into_row).collect()
    }
}

impl PlanItem {
    fn into_row(self) -> (PlanId, PlanRow) {
        let row = PlanRow {
            deadline: self.deadline,
            first_token: self.first_token,
            token_gap: self.token_gap,
            objective: self.objective,
            refund_weight: self.refund_weight,
            uses: self.uses.into_iter().map(UseItem::into_row).collect(),
        };
        (self.plan, row)
    }
}

impl UseItem {
    fn into_row(self) -> (ServiceId, ServiceLimitRow) {
        let Self {
            service,
            rate,
            in_flight,
        } = self;
        (service, ServiceLimitRow { rate, in_flight })
    }
}
