use amaranthgw_fleet::lists::{ListError, OperatorLists};
use amaranthgw_fleet::settings::DocumentError;
use yare::parameterized;

use crate::settings::repository_file;

pub const CUSTOMERS: &str = r#"{
  "customers": [
    {"workspace": "care-homes", "plan": "gold"},
    // A comment with "quotes" and a {brace.
    {"workspace": "schools", "plan": "basic"}
  ]
}"#;

pub const PLANS: &str = r#"{"plans": [
  /* Two lines
     of comment. */
  {"plan": "gold", "deadline": "3s", "first_token": "940ms", "token_gap": "67ms",
   "objective": 9950, "refund_weight": 5,
   "uses": [{"service": "draft-llm", "rate": "20/s", "in_flight": 40},
            {"service": "booking-desk", "rate": "5/s", "in_flight": 4}]},
  {"plan": "basic", "deadline": "8s", "first_token": "2s", "token_gap": "150ms",
   "objective": 9900, "refund_weight": 1, "uses": []}
]}"#;

fn parse(customers: &str, plans: &str) -> Result<OperatorLists, ListError> {
    OperatorLists::parse(customers, "customers.jsonc", plans, "plans.jsonc")
}

#[parameterized(parse_lists_tartu = { "tartu" }, parse_lists_tinshare = { "tinshare" })]
fn parse_lists(user: &str) {
    let customers = repository_file(&format!("examples/{user}/customers.jsonc"));
    let plans = repository_file(&format!("examples/{user}/plans.jsonc"));
    let lists = parse(&customers, &plans).expect("valid lists");
    assert_eq!((lists.workspaces.len(), lists.plans.len()), (10, 3));
}

#[parameterized(
    parse_lists_duplicate_workspace = {
        "schools", "care-homes",
        r#"customers.jsonc:5:6: customers[1].workspace: duplicate "care-homes", first used in line 3; expected a text of 1 to 64 letters, digits or any of . _ - : /"#
    },
    parse_lists_unknown_plan = {
        r#""basic"}"#, r#""bronze"}"#,
        r#"customers.jsonc:5:30: customers[1].plan: plan "bronze" is not in plans.jsonc; expected a text of 1 to 64 letters, digits or any of . _ - : /"#
    },
    parse_lists_duplicate_plan = {
        r#"{"plan": "basic""#, r#"{"plan": "gold""#,
        r#"customers.jsonc:5:30: customers[1].plan: plan "basic" is not in plans.jsonc; expected a text of 1 to 64 letters, digits or any of . _ - : /
plans.jsonc:8:4: plans[1].plan: duplicate "gold", first used in line 4; expected a text of 1 to 64 letters, digits or any of . _ - : /"#
    },
    parse_lists_duplicate_service = {
        "booking-desk", "draft-llm",
        r#"plans.jsonc:7:14: plans[0].uses[1].service: duplicate "draft-llm", first used in line 6; expected a text of 1 to 64 letters, digits or any of . _ - : /"#
    },
    parse_lists_out_of_range = {
        "9950", "10000",
        "plans.jsonc:5:4: plans[0].objective: invalid value 10000; expected a whole number from 1 to 9999"
    },
    parse_lists_zero_rate = {
        "5/s", "0/s",
        r#"plans.jsonc:7:41: plans[0].uses[1].rate: invalid value "0/s"; expected a text like 200/s from 1/s to 1000000/s"#
    },
    parse_lists_unknown_field = {
        r#""workspace": "schools""#, r#""customer": "schools""#,
        "customers.jsonc:5:6: customers[1].customer: unknown field; expected workspace, plan
customers.jsonc:5:6: customers[1].workspace: missing field; expected a text of 1 to 64 letters, digits or any of . _ - : /"
    },
    parse_lists_row_not_object = {
        r#"{"workspace": "schools", "plan": "basic"}"#, r#""schools""#,
        r#"customers.jsonc:5:6: customers[1]: invalid value "schools"; expected a group of fields"#
    },
    parse_lists_trailing_comma = {
        "\"basic\"}\n  ]", "\"basic\"},\n  ]",
        "customers.jsonc:6:3: trailing comma"
    },
)]
fn parse_lists_refused(from: &str, to: &str, expected: &str) {
    let customers = CUSTOMERS.replacen(from, to, 1);
    let plans = PLANS.replacen(from, to, 1);
    assert!(
        customers != CUSTOMERS || plans != PLANS,
        "neither list contains {from}"
    );
    // Only one list is edited: the customers if they contain `from`, else the plans.
    let plans = if customers == CUSTOMERS {
        &plans
    } else {
        PLANS
    };
    let error = parse(&customers, plans).expect_err("invalid document");
    assert_eq!(error.to_string(), expected);
}

#[test]
fn parse_lists_every_problem() {
    let customers = CUSTOMERS.replace("\"plan\": \"gold\"", "\"plan\": 3");
    let plans = PLANS.replace("940ms", "0ms").replace("8s", "eight");
    let error = parse(&customers, &plans).expect_err("invalid document");
    let problems: Vec<_> = error
        .files()
        .iter()
        .flat_map(DocumentError::problems)
        .collect();
    let lines: Vec<_> = problems
        .iter()
        .map(|problem| problem.position.line)
        .collect();
    assert_eq!(lines, [3, 4, 8]);
}
