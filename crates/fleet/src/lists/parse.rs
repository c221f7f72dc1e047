//! Parsing of the two lists, with checks for duplicates and references between them.

use std::collections::HashMap;
use std::hash::Hash;

use compact_str::ToCompactString;

use super::rows::{CustomerList, PlanList};
use super::{CUSTOMER_RULES, ListError, OperatorLists, PLAN_RULES, Result};
use crate::settings::{
    DocumentError, FieldPath, FieldProblem, FieldRule, JsonDocument, ProblemKind, field_problem,
    parse_document,
};

impl OperatorLists {
    /// Parses both lists; the names are the file names that errors show.
    ///
    /// # Errors
    ///
    /// Returns all problems in both files. Duplicates and unknown plans are checked only if every
    /// single field is valid.
    pub fn parse(
        customers_text: &str,
        customers_name: &str,
        plans_text: &str,
        plans_name: &str,
    ) -> Result<Self> {
        let customers_document = JsonDocument::new(customers_name, customers_text);
        let plans_document = JsonDocument::new(plans_name, plans_text);
        let customers = parse_document::<CustomerList>(&customers_document, CUSTOMER_RULES);
        let plans = parse_document::<PlanList>(&plans_document, PLAN_RULES);
        let (customers, plans) = match (customers, plans) {
            (Ok(customers), Ok(plans)) => (customers, plans),
            (customers, plans) => return Err(ListError::new(collect_errors(customers, plans))),
        };
        let mut customer_problems = duplicate_customers(&customers_document, &customers);
        customer_problems.extend(unknown_plans(
            &customers_document,
            &customers,
            &plans,
            plans_name,
        ));
        let plan_problems = duplicate_plans(&plans_document, &plans);
        let files = [
            (customers_document, customer_problems),
            (plans_document, plan_problems),
        ];
        let invalid_files = files
            .into_iter()
            .filter(|(_, problems)| !problems.is_empty());
        let errors: Vec<_> = invalid_files
            .map(|(document, problems)| document.error(problems))
            .collect();
        if !errors.is_empty() {
            return Err(ListError::new(errors));
        }
        Ok(Self {
            workspaces: customers.into(),
            plans: plans.into(),
        })
    }
}

fn collect_errors<A, B>(
    first: std::result::Result<A, DocumentError>,
    second: std::result::Result<B, DocumentError>,
) -> Vec<DocumentError> {
    first.err().into_iter().chain(second.err()).collect()
}

fn duplicate_customers(document: &JsonDocument, list: &CustomerList) -> Vec<FieldProblem> {
    let rows = FieldPath::new().with_key("customers");
    let ids = list.customers.iter().map(|customer| &customer.workspace);
    duplicates(document, CUSTOMER_RULES, &rows, "workspace", ids)
}

fn duplicate_plans(document: &JsonDocument, list: &PlanList) -> Vec<FieldProblem> {
    let rows = FieldPath::new().with_key("plans");
    let ids = list.plans.iter().map(|plan| &plan.plan);
    let mut problems = duplicates(document, PLAN_RULES, &rows, "plan", ids);
    for (index, plan) in list.plans.iter().enumerate() {
        let uses = rows.with_index(index).with_key("uses");
        let ids = plan.uses.iter().map(|item| &item.service);
        problems.extend(duplicates(document, PLAN_RULES, &uses, "service", ids));
    }
    problems
}

/// Problems of the rows that repeat the identifier of an earlier row.
fn duplicates<'a, Id: Hash + Eq + std::fmt::Display + 'a>(
    document: &JsonDocument,
    rules: &[FieldRule],
    rows: &FieldPath,
    key: &str,
    ids: impl Iterator<Item = &'a Id>,
) -> Vec<FieldProblem> {
    let mut first_rows = HashMap::new();
    let mut problems = Vec::new();
    for (index, id) in ids.enumerate() {
        let first = *first_rows.entry(id).or_insert(index);
        if first == index {
            continue;
        }
        let first_path = rows.with_index(first).with_key(key);
        let first_line = document.locate(&first_path).line;
        let kind = ProblemKind::Duplicate(id.to_compact_string(), first_line);
        let path = rows.with_index(index).with_key(key);
        problems.push(field_problem(document, rules, path, kind));
    }
    problems
}

fn unknown_plans(
    document: &JsonDocument,
    customers: &CustomerList,
    plans: &PlanList,
    plans_name: &str,
) -> Vec<FieldProblem> {
    let known: std::collections::HashSet<_> = plans.plans.iter().map(|plan| &plan.plan).collect();
    let rows = FieldPath::new().with_key("customers");
    let items = customers.customers.iter().enumerate();
    let unknown = items.filter(|(_, customer)| !known.contains(&customer.plan));
    let problem = |(index, customer): (usize, &super::rows::CustomerItem)| {
        let path = rows.with_index(index).with_key("plan");
        let kind = ProblemKind::UnknownPlan(customer.plan.to_compact_string(), plans_name.into());
        field_problem(document, CUSTOMER_RULES, path, kind)
    };
    unknown.map(problem).collect()
}
