//! Reports the service-level burn of the fleet.

use std::net::SocketAddr;

use amaranthgw_fleet::burn::{BurnReport, WindowSpans, render_json, render_table};
use amaranthgw_fleet::membership::{NodeRole, VmRecord};

use super::EXIT_DONE;
use super::out::list_vms;
use super::status::ask_nodes;
use crate::operator::unix_ms;
use crate::peer::ReportKind;

/// Prints the burn over all entries.
pub(super) fn run(vm_list: SocketAddr, json: bool) -> eyre::Result<u8> {
    let entries = list_vms(vm_list)?;
    let entries: Vec<_> = entries
        .into_iter()
        .filter(|record| record.role == NodeRole::Entry)
        .collect();
    let report = merge_reports(&entries)?;
    if json {
        println!("{}", render_json(&report)?);
    } else {
        print!("{}", render_table(&report));
    }
    Ok(EXIT_DONE)
}

fn merge_reports(entries: &[VmRecord]) -> eyre::Result<BurnReport> {
    let mut merged = BurnReport::new(unix_ms(), WindowSpans::standard());
    for (record, answer) in ask_nodes(entries, ReportKind::Burn, "")? {
        let report = answer.and_then(|json| serde_json::from_slice::<BurnReport>(&json).ok());
        match report {
            Some(report) => merged.merge(&report)?,
            None => merged = merged.with_unreachable(record.vm),
        }
    }
    Ok(merged)
}
