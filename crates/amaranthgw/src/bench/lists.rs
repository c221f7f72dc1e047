//! Generated operator lists for benchmarks.

use amaranthgw_fleet::lists::OperatorLists;

use super::{BenchError, Result};
use crate::embedded::{MODEL_SERVICE, PLAIN_SERVICE, WORKSPACE};

/// Lists with one workspace whose limits are higher than the load of any benchmark.
pub(super) fn unlimited_lists() -> Result<OperatorLists> {
    let services = [MODEL_SERVICE, PLAIN_SERVICE].map(str::to_owned);
    let customers =
        format!(r#"{{"customers": [{{"workspace": "{WORKSPACE}", "plan": "plan-0"}}]}}"#);
    parse(&customers, &plan_list(1, &services))
}

/// Lists of `workspaces` workspaces spread over `plans` plans that each allow all `services`.
pub(super) fn generated_lists(
    workspaces: usize,
    plans: usize,
    services: &[String],
) -> Result<OperatorLists> {
    let row = |index| {
        let plan = index % plans;
        format!(r#"{{"workspace": "customer-{index}/main", "plan": "plan-{plan}"}}"#)
    };
    let rows: Vec<_> = (0..workspaces).map(row).collect();
    let customers = format!(r#"{{"customers": [{}]}}"#, rows.join(","));
    parse(&customers, &plan_list(plans, services))
}

fn plan_list(plans: usize, services: &[String]) -> String {
    let row = |service: &String| {
        format!(r#"{{"service": "{service}", "rate": "1000000/s", "in_flight": 1000000}}"#)
    };
    let uses = services.iter().map(row).collect::<Vec<_>>().join(",");
    let plan = |index| {
        format!(
            r#"{{"plan": "plan-{index}", "deadline": "3s", "first_token": "940ms",
            "token_gap": "67ms", "objective": 9950, "refund_weight": 5, "uses": [{uses}]}}"#
        )
    };
    let plans: Vec<_> = (0..plans).map(plan).collect();
    format!(r#"{{"plans": [{}]}}"#, plans.join(","))
}

fn parse(customers: &str, plans: &str) -> Result<OperatorLists> {
    let lists = OperatorLists::parse(customers, "customers", plans, "plans");
    lists.map_err(BenchError::Lists)
}
