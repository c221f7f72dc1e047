use serde_json::Value;

use crate::env::run_command;

fn report(kind: &str) -> Value {
    let (code, text) = run_command(&["bench", "--quick", "--json", kind]);
    assert_eq!(code, 0, "{text}");
    serde_json::from_str(&text).expect("JSON")
}

fn cells<'a>(table: &'a Value, column: &str) -> Vec<&'a Value> {
    let columns = table["columns"].as_array().expect("columns");
    let index = columns.iter().position(|name| name == column);
    let index = index.expect("known column");
    let rows = table["rows"].as_array().expect("rows");
    assert!(
        rows.iter()
            .all(|row| row.as_array().map(Vec::len) == Some(columns.len()))
    );
    rows.iter().map(|row| &row[index]).collect()
}

#[test]
fn bench_hops_counts_calls_of_every_kind() {
    let report = report("hops");
    assert_eq!(report["bench"], "hops");
    let tables = report["tables"].as_array().expect("tables");
    assert_eq!(
        cells(&tables[0], "call"),
        ["plain", "plain with key", "model", "model"]
    );
    let through = cells(&tables[0], "through p50");
    assert!(
        through.iter().all(|cell| cell.as_u64() > Some(0)),
        "{through:?}"
    );
    let entry = cells(&tables[1], "entry traffic cores");
    let sidecar = cells(&tables[1], "sidecar traffic cores");
    let is_busy = |cell: &&&Value| cell.as_f64() > Some(0.0);
    assert_eq!(entry.iter().chain(&sidecar).filter(is_busy).count(), 6);
}

#[test]
fn bench_unknown_kind_is_invalid() {
    let (code, text) = run_command(&["bench", "nothing"]);
    assert_eq!(code, 2);
    assert!(text.contains("hops, move or control"), "{text}");
}
