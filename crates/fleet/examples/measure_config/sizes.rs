//! Sizes of encoded configurations and times of operations on them.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use amaranthgw_core::ChangeNumber;
use amaranthgw_fleet::config::{
    ChangeId, ConfigBase, ConfigChange, ConfigEdit, ServingState, WorkspaceRow, diff_lists,
    encode_value,
};
use amaranthgw_fleet::lists::OperatorLists;

use crate::{SEED, parse_id};

/// Workspaces and plans of each measured configuration.
const SIZES: [(usize, usize); 3] = [(10, 3), (400, 12), (3_800, 40)];
/// Repetitions of each timed operation.
const REPEATS: u32 = 200;
/// Assumed size of a memory page.
const PAGE_BYTES: usize = 4_096;

pub fn print_sizes() {
    for (workspaces, plans) in SIZES {
        let (first, state) = configuration(workspaces, plans);
        let base = ConfigBase {
            state: state.clone(),
            marks: Vec::new(),
        };
        let memory = resident_bytes(&state);
        println!(
            "| {workspaces} | {} | {} | {} | {memory} |",
            encoded_len(&base),
            encoded_len(&first),
            encoded_len(&workspace_change(&state, 0)),
        );
    }
}

pub fn print_times() {
    for (workspaces, plans) in SIZES {
        let (customers_text, plans_text) = operator_lists(workspaces, plans);
        let (_, mut state) = configuration(workspaces, plans);
        let read = || OperatorLists::parse(&customers_text, "customers", &plans_text, "plans");
        let lists = read().expect("valid lists");
        let read_us = time_us(|_| drop(black_box(read())));
        let diff_us = time_us(|_| drop(black_box(diff_lists(&state, &lists))));
        let mut copied = state.clone();
        let apply_us = time_us(|index| {
            let change = workspace_change(&state, index as usize % workspaces);
            state.apply(&change).expect("valid change");
        });
        let copy_us = time_us(|index| {
            let change = workspace_change(&copied, index as usize % workspaces);
            let mut copy = copied.clone();
            copy.apply(&change).expect("valid change");
            copy.check().expect("valid state");
            copied = copy;
        });
        println!("| {workspaces} | {read_us:.1} | {diff_us:.1} | {apply_us:.2} | {copy_us:.1} |");
    }
}

/// Creates a configuration by one change; returns both.
pub fn configuration(workspaces: usize, plans: usize) -> (ConfigChange, ServingState) {
    let (customers_text, plans_text) = operator_lists(workspaces, plans);
    let lists = OperatorLists::parse(&customers_text, "customers", &plans_text, "plans");
    let mut state = ServingState::default();
    let edits = diff_lists(&state, &lists.expect("valid lists"));
    let first = change(ChangeNumber::new(1), edits);
    state.apply(&first).expect("valid change");
    (first, state)
}

/// Creates a change that assigns the workspace at `row` to another plan.
pub fn workspace_change(state: &ServingState, row: usize) -> ConfigChange {
    let workspace = state
        .workspaces
        .ids()
        .nth(row)
        .expect("a workspace")
        .clone();
    let plans = state.plans.len();
    let plan = state
        .plans
        .ids()
        .nth((row + 1) % plans)
        .expect("a plan")
        .clone();
    let row = WorkspaceRow { plan };
    let edits = vec![ConfigEdit::SetWorkspace { workspace, row }];
    change(state.number.next(), edits)
}

fn change(number: ChangeNumber, edits: Vec<ConfigEdit>) -> ConfigChange {
    let mut random = fastrand::Rng::with_seed(SEED + number.get());
    ConfigChange {
        number,
        id: ChangeId::new(random.u128(..)),
        operator: parse_id("operator-1.example"),
        made_at_unix_ms: 1_790_000_000_000,
        edits,
    }
}

fn operator_lists(workspaces: usize, plans: usize) -> (String, String) {
    let mut customers = String::from("{\"customers\":[");
    for index in 0..workspaces {
        let end = if index + 1 == workspaces { "" } else { "," };
        let plan = index % plans;
        write!(
            customers,
            "\n{{\"workspace\":\"customer-{index}/main\",\"plan\":\"plan-{plan}\"}}{end}"
        )
        .expect("writes to a text");
    }
    let mut list = String::from("{\"plans\":[");
    for index in 0..plans {
        let end = if index + 1 == plans { "" } else { "," };
        write!(
            list,
            "\n{{\"plan\":\"plan-{index}\",\"deadline\":\"3s\",\"first_token\":\"940ms\",\
             \"token_gap\":\"67ms\",\"objective\":9950,\"refund_weight\":{index},\"uses\":[\
             {{\"service\":\"draft-llm\",\"rate\":\"20/s\",\"in_flight\":40}},\
             {{\"service\":\"booking-desk\",\"rate\":\"5/s\",\"in_flight\":5}}]}}{end}"
        )
        .expect("writes to a text");
    }
    customers.push_str("]}");
    list.push_str("]}");
    (customers, list)
}

fn encoded_len<T: serde::Serialize>(value: &T) -> usize {
    encode_value(value).expect("value within the limit").len()
}

fn time_us(mut run: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for index in 0..REPEATS {
        run(index);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

/// Mean growth of the resident set with each copy of `state`, in bytes.
fn resident_bytes(state: &ServingState) -> usize {
    const COPIES: usize = 64;
    let before = resident_pages();
    let copies: Vec<_> = (0..COPIES).map(|_| state.clone()).collect();
    let after = resident_pages();
    drop(black_box(copies));
    after.saturating_sub(before) * PAGE_BYTES / COPIES
}

fn resident_pages() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0)
}
