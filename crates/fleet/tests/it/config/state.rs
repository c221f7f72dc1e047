use amaranthgw_core::ChangeNumber;
use amaranthgw_fleet::config::{
    ChangeId, ConfigChange, ConfigEdit, ConfigError, ServingState, diff_lists, diff_states,
};
use amaranthgw_fleet::lists::OperatorLists;
use proptest::prelude::*;

use super::fixtures::{bring_back, id, remove_plan, set_plan, set_workspace, take_out};
use crate::lists::{CUSTOMERS, PLANS};

fn edit_strategy() -> impl Strategy<Value = ConfigEdit> {
    let plan = prop::sample::select(vec!["p1", "p2", "p3"]);
    let workspace = prop::sample::select(vec!["w1", "w2", "w3", "w4"]);
    let domain = prop::sample::select(vec!["d1", "d2"]);
    prop_oneof![
        (plan.clone(), 0..3_u32).prop_map(|(plan, weight)| set_plan(plan, weight)),
        plan.clone().prop_map(remove_plan),
        (workspace.clone(), plan).prop_map(|(workspace, plan)| set_workspace(workspace, plan)),
        workspace.prop_map(|workspace| {
            let workspace = id(workspace);
            ConfigEdit::RemoveWorkspace { workspace }
        }),
        domain.clone().prop_map(take_out),
        domain.prop_map(bring_back),
    ]
}

fn change(number: ChangeNumber, edits: Vec<ConfigEdit>) -> ConfigChange {
    ConfigChange {
        number,
        id: ChangeId::new(u128::from(number.get())),
        operator: id("operator-1"),
        made_at_unix_ms: 1,
        edits,
    }
}

/// Reference implementation of `apply`: edits a copy one by one and checks the whole copy.
fn apply_to_copy(state: &ServingState, change: &ConfigChange) -> Result<ServingState, ConfigError> {
    let mut copy = state.clone();
    for edit in change.edits.clone() {
        match edit {
            ConfigEdit::SetPlan { plan, row } => drop(copy.plans.insert(plan, row)),
            ConfigEdit::RemovePlan { plan } => drop(copy.plans.remove(&plan)),
            ConfigEdit::SetWorkspace { workspace, row } => {
                drop(copy.workspaces.insert(workspace, row));
            }
            ConfigEdit::RemoveWorkspace { workspace } => drop(copy.workspaces.remove(&workspace)),
            ConfigEdit::TakeOut(scope) => drop(copy.outs.replace(scope)),
            ConfigEdit::BringBack(scope) => drop(copy.outs.take(&scope)),
        }
    }
    copy.number = change.number;
    copy.check().map(|()| copy)
}

proptest! {
    /// A change with one invalid edit must not leave the other edits applied.
    #[test]
    fn apply_whole_or_nothing(batches in prop::collection::vec(prop::collection::vec(edit_strategy(), 1..6), 1..20)) {
        let mut state = ServingState::default();
        for edits in batches {
            let change = change(state.number.next(), edits);
            let before = state.clone();
            let expected = apply_to_copy(&state, &change);
            let applied = state.apply(&change);
            prop_assert_eq!(applied.is_ok(), expected.is_ok());
            prop_assert_eq!(&state, expected.as_ref().unwrap_or(&before));
        }
    }

    #[test]
    fn diff_states_leads_to_state(first in prop::collection::vec(edit_strategy(), 0..12), second in prop::collection::vec(edit_strategy(), 0..12)) {
        let mut from = ServingState::default();
        let _may_be_refused = from.apply(&change(ChangeNumber::new(1), first));
        from.number = ChangeNumber::new(1);
        let mut to = from.clone();
        let _may_be_refused = to.apply(&change(ChangeNumber::new(2), second));
        to.number = ChangeNumber::new(2);
        let edits = diff_states(&from, &to);
        let mut reached = from;
        reached.apply(&change(ChangeNumber::new(2), edits)).expect("valid edits");
        prop_assert_eq!(reached, to);
    }
}

#[test]
fn apply_out_of_order() {
    let mut state = ServingState::default();
    let current = ChangeNumber::new(0);
    for offered in [0, 2].map(ChangeNumber::new) {
        let refused = state.apply(&change(offered, vec![set_plan("p1", 1)]));
        assert_eq!(refused, Err(ConfigError::OutOfOrder { current, offered }));
    }
    assert_eq!(state, ServingState::default());
}

#[test]
fn diff_lists_then_nothing() {
    let lists = OperatorLists::parse(CUSTOMERS, "c", PLANS, "p").expect("valid lists");
    let mut state = ServingState::default();
    let first = vec![
        set_plan("old", 1),
        set_workspace("gone", "old"),
        take_out("d1"),
    ];
    state
        .apply(&change(ChangeNumber::new(1), first))
        .expect("valid change");
    let edits = diff_lists(&state, &lists);
    state
        .apply(&change(ChangeNumber::new(2), edits))
        .expect("valid edits");
    assert_eq!(
        (&state.plans, &state.workspaces),
        (&lists.plans, &lists.workspaces)
    );
    assert_eq!(
        state.outs.len(),
        1,
        "a scope that is out of service stays out"
    );
    assert_eq!(diff_lists(&state, &lists), []);
}

#[test]
fn change_id_round_trip() {
    let change = ChangeId::new(0xabc);
    assert_eq!(change.to_string().parse(), Ok(change));
    "+0000000000000000000000000000abc"
        .parse::<ChangeId>()
        .expect_err("a sign is not a hex digit");
}
