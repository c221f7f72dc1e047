//! Guards against events that are missing from `docs/EVENTS.md` or differ from their description
//! there.

use std::collections::BTreeSet;

use amaranthgw::telemetry::NodeEvent;

const PAGE: &str = include_str!("../../../../docs/EVENTS.md");
/// Leading cells of a table row that must match the catalogue; two cells of prose follow.
const CATALOGUE_CELLS: usize = 5;
const ROW_CELLS: usize = 7;

/// Returns the cells of every table row that starts with an event number.
fn page_rows() -> Vec<Vec<&'static str>> {
    let cells = |line: &'static str| {
        let row = line.strip_prefix('|')?.strip_suffix('|')?;
        Some(row.split('|').map(str::trim).collect::<Vec<_>>())
    };
    let rows = PAGE.lines().filter_map(cells);
    rows.filter(|row| row[0].parse::<u16>().is_ok()).collect()
}

fn field_cell(fields: &[&str]) -> String {
    let quoted: Vec<_> = fields.iter().map(|field| format!("`{field}`")).collect();
    if quoted.is_empty() {
        "none".to_owned()
    } else {
        quoted.join(", ")
    }
}

#[test]
fn catalogue_documented() {
    let expected: Vec<[String; CATALOGUE_CELLS]> = NodeEvent::CATALOGUE
        .iter()
        .map(|(number, level, name, message, fields)| {
            [
                number.to_string(),
                format!("{level:?}"),
                format!("`{name}`"),
                (*message).to_owned(),
                field_cell(fields),
            ]
        })
        .collect();
    let rows = page_rows();
    let documented: Vec<_> = rows
        .iter()
        .map(|row| row[..CATALOGUE_CELLS.min(row.len())].to_vec())
        .collect();
    assert_eq!(documented, expected);
    for row in rows {
        assert_eq!(row.len(), ROW_CELLS, "{row:?}");
        assert!(row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
}

#[test]
fn catalogue_numbers_unique() {
    let numbers: BTreeSet<_> = NodeEvent::CATALOGUE.iter().map(|row| row.0).collect();
    assert_eq!(numbers.len(), NodeEvent::CATALOGUE.len());
}
