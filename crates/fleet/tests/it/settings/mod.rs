use std::path::PathBuf;

use amaranthgw_core::MilliSpan;
use amaranthgw_fleet::lists::{CUSTOMER_RULES, PLAN_RULES};
use amaranthgw_fleet::settings::{
    AgentSettings, EntrySettings, FieldRule, GatewaySettings, Result, SidecarSettings,
};
use compact_str::ToCompactString;
use yare::parameterized;

/// Reads a file of the repository.
pub fn repository_file(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).expect("readable file of the repository")
}

fn entry_text() -> String {
    repository_file("examples/tartu/entry.jsonc")
}

fn sidecar_text() -> String {
    repository_file("examples/tartu/sidecar-draft-llm.jsonc")
}

fn error_text<T: std::fmt::Debug>(result: Result<T>) -> String {
    result.expect_err("invalid document").to_string()
}

#[test]
fn parse_entry_examples() {
    let tartu = EntrySettings::parse(&entry_text(), "entry.jsonc").expect("valid settings");
    assert_eq!(tartu.domain.as_str(), "tartu-a");
    let text = repository_file("examples/tinshare/entry.jsonc");
    EntrySettings::parse(&text, "entry.jsonc").expect("valid settings");
}

#[test]
fn parse_entry_defaults() {
    let text = entry_text();
    let optional = text
        .find("\"traffic_threads\"")
        .expect("first optional field");
    let required = text[..optional]
        .trim_end()
        .trim_end_matches("// The rest may be left out; these are the defaults but for the slot.");
    let required = format!("{}}}", required.trim_end().trim_end_matches(','));
    let settings = EntrySettings::parse(&required, "entry.jsonc").expect("valid settings");
    let mut example = EntrySettings::parse(&text, "entry.jsonc").expect("valid settings");
    let slot = example.limit_slot.take().expect("the slot of the example");
    assert_eq!((slot.slot, slot.slots), (0, 3));
    assert_eq!(settings, example);
    assert_eq!(settings.tick, MilliSpan::new(50));
}

#[parameterized(
    parse_sidecar_tartu_model = { "tartu/sidecar-draft-llm" },
    parse_sidecar_tartu_plain = { "tartu/sidecar-booking-desk" },
    parse_sidecar_tinshare_model = { "tinshare/sidecar-helper-llm" },
    parse_sidecar_tinshare_plain = { "tinshare/sidecar-lending-desk" },
)]
fn parse_sidecar(file: &str) {
    let text = repository_file(&format!("examples/{file}.jsonc"));
    let settings = SidecarSettings::parse(&text, file).expect("valid settings");
    assert!(!settings.target.checks_fencing);
}

#[parameterized(
    parse_entry_out_of_range = {
        r#""50ms""#, r#""2s""#,
        r#"entry.jsonc:19:3: tick: invalid value "2s"; expected a text like 250ms, 3s or 2min from 5ms to 1000ms"#
    },
    parse_entry_wrong_type = {
        r#""traffic_threads": 2"#, r#""traffic_threads": "two""#,
        r#"entry.jsonc:18:3: traffic_threads: invalid value "two"; expected a whole number from 1 to 256"#
    },
    parse_entry_host_name = {
        "10.1.0.2:7000", "store.example:7000",
        r#"entry.jsonc:14:3: store: invalid value "store.example:7000"; expected a text like 10.0.0.1:8080 with a port from 1 to 65535"#
    },
    parse_entry_no_port = {
        "10.1.0.2:7000", "10.1.0.2:0",
        r#"entry.jsonc:14:3: store: invalid value "10.1.0.2:0"; expected a text like 10.0.0.1:8080 with a port from 1 to 65535"#
    },
    parse_entry_null = {
        r#""30s""#, "null",
        "entry.jsonc:20:3: grace: invalid value null; expected a text like 250ms, 3s or 2min from 0ms to 3600000ms"
    },
    parse_entry_missing = {
        r#""vm": "tartu-entry-1","#, "",
        "entry.jsonc:1:1: vm: missing field; expected a text of 1 to 64 letters, digits or any of . _ - : /"
    },
    parse_entry_repeated_field = {
        r#""subset_size": 16"#, r#""subset_size": 16, "tick": "50ms""#,
        "entry.jsonc:25:27: duplicate field `tick`"
    },
    parse_entry_slot_out_of_range = {
        r#""slot": 0"#, r#""slot": 3"#,
        "entry.jsonc:24:19: limit_slot.slot: slot 3 is not less than limit_slot.slots (3); expected a whole number from 0 to 4095"
    },
    parse_entry_trailing_text = { "16\n}", "16\n} x", "entry.jsonc:26:3: trailing characters" },
    parse_entry_not_json = { "16\n}", "16\n", "entry.jsonc:27:0: EOF while parsing an object" },
)]
fn parse_entry_refused(from: &str, to: &str, expected: &str) {
    let text = entry_text();
    assert!(text.contains(from), "the example does not contain {from}");
    let error = EntrySettings::parse(&text.replacen(from, to, 1), "entry.jsonc");
    assert_eq!(error_text(error), expected);
}

#[test]
fn parse_entry_unknown_field_lists_known() {
    let text = entry_text().replacen("\"grace\"", "\"patience\"", 1);
    let error = error_text(EntrySettings::parse(&text, "entry.jsonc"));
    let expected = "entry.jsonc:20:3: patience: unknown field; expected vm, domain, region,";
    assert!(error.starts_with(expected), "{error}");
}

#[parameterized(
    parse_sidecar_cold_above_full = {
        r#""cold_limit": 2"#, r#""cold_limit": 17"#,
        "s.jsonc:25:13: gate.cold_limit: 17 exceeds gate.full_limit (16); expected a whole number from 1 to 65536"
    },
    parse_sidecar_rank_beyond_ranks = {
        r#""rank": 0"#, r#""rank": 4"#,
        "s.jsonc:28:45: rank_group.rank: rank 4 is not less than rank_group.ranks (4); expected a whole number from 0 to 1023"
    },
    parse_sidecar_unknown_kind = {
        r#""model""#, r#""modal""#,
        r#"s.jsonc:19:5: target.kind: invalid value "modal"; expected one of model, plain"#
    },
    parse_sidecar_gate_not_object = {
        r#"{ "cold_limit": 2, "full_limit": 16 }"#, "3",
        "s.jsonc:25:3: gate: invalid value 3; expected a group of fields"
    },
)]
fn parse_sidecar_refused(from: &str, to: &str, expected: &str) {
    let text = sidecar_text();
    assert!(text.contains(from), "the example does not contain {from}");
    let error = SidecarSettings::parse(&text.replacen(from, to, 1), "s.jsonc");
    assert_eq!(error_text(error), expected);
}

#[test]
fn parse_sidecar_lists_every_problem() {
    let text = sidecar_text()
        .replacen("10.1.0.2:7000", "nowhere", 1)
        .replacen("\"cold_limit\": 2", "\"cold_limit\": 0", 1)
        .replacen("\"ranks\": 4", "\"members\": 4", 1);
    let error = SidecarSettings::parse(&text, "s.jsonc").expect_err("invalid document");
    let paths: Vec<_> = error
        .problems()
        .iter()
        .map(|problem| problem.path.to_string())
        .collect();
    let expected = [
        "store",
        "gate.cold_limit",
        "rank_group.ranks",
        "rank_group.members",
    ];
    assert_eq!(paths, expected);
}

#[parameterized(
    rules_entry_documented = { "Entry", EntrySettings::RULES },
    rules_sidecar_documented = { "Sidecar", SidecarSettings::RULES },
    rules_gateway_documented = { "Gateway", GatewaySettings::RULES },
    rules_agent_documented = { "Agent", AgentSettings::RULES },
    rules_customers_documented = { "Customers", CUSTOMER_RULES },
    rules_plans_documented = { "Plans", PLAN_RULES },
)]
/// Guards against settings whose range or default in the code differs from the documented one.
fn rules_documented(heading: &str, rules: &[FieldRule]) {
    let page = repository_file("docs/SETTINGS.md");
    let (_, section) = page
        .split_once(&format!("\n## {heading}\n"))
        .expect("section");
    let section = section.split("\n## ").next().expect("text of the section");
    for rule in rules {
        let default = rule.default.unwrap_or("required");
        let start = format!(
            "| `{}` | {} | {default} |",
            rule.field,
            rule.range.to_compact_string()
        );
        assert!(section.contains(&start), "no row starts with {start}");
    }
}
