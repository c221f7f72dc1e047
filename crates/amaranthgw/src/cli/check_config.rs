//! The part of the `check` command for the configuration of routes, services and workspaces.

use std::path::Path;

use amaranthgw_fleet::gateway::{
    ConfigDocument, ConfigFinding, DocumentChange, FindingLevel, check_document, compare_documents,
};
use amaranthgw_platform::document::decode_document;
use serde::Serialize;

use super::node::{read_file, reject_input};
use super::{EXIT_INVALID, EXIT_SUCCESS};

/// What was found, as printed with `--json`.
#[derive(Serialize)]
struct ConfigReport {
    findings: Vec<ConfigFinding>,
    changes: Vec<DocumentChange>,
}

/// Checks the configuration in `path` and shows what it changes against the one in `against`. Warnings
/// don't make it invalid.
pub(super) fn run(path: &Path, against: Option<&Path>, json: bool) -> eyre::Result<u8> {
    let Some(document) = read_document(path)? else {
        return Ok(EXIT_INVALID);
    };
    let changes = match against {
        Some(against) => match read_document(against)? {
            Some(old) => compare_documents(&old, &document),
            None => return Ok(EXIT_INVALID),
        },
        None => Vec::new(),
    };
    let report = ConfigReport {
        findings: check_document(&document),
        changes,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print_report(path, &report);
    }
    let is_error = |finding: &ConfigFinding| finding.level == FindingLevel::Error;
    let is_invalid = report.findings.iter().any(is_error);
    Ok(if is_invalid {
        EXIT_INVALID
    } else {
        EXIT_SUCCESS
    })
}

/// Reads a configuration; `None`, with a message, if it can't be decoded.
fn read_document(path: &Path) -> eyre::Result<Option<ConfigDocument>> {
    let text = read_file(path)?;
    match decode_document(text.as_bytes()) {
        Ok(document) => Ok(Some(document)),
        Err(error) => {
            reject_input(&format_args!("{}: {error}", path.display()));
            Ok(None)
        }
    }
}

fn print_report(path: &Path, report: &ConfigReport) {
    for finding in &report.findings {
        println!("{}: {finding}", path.display());
    }
    for change in &report.changes {
        println!("changes {change}");
    }
    let errors = report.findings.iter();
    let errors = errors
        .filter(|finding| finding.level == FindingLevel::Error)
        .count();
    let warnings = report.findings.len() - errors;
    println!("{}: {errors} errors, {warnings} warnings", path.display());
}
