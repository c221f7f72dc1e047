//! The `explain` command.

use std::net::SocketAddr;

use serde_json::Value;

use super::EXIT_SUCCESS;
use super::out::list_vms;
use super::status::fetch_reports;
use crate::peer::ReportKind;

/// Prints the events of all nodes in which any field equals `subject`, oldest first.
pub(super) fn run(vm_list: SocketAddr, subject: &str) -> eyre::Result<u8> {
    let records = list_vms(vm_list)?;
    let mut events = Vec::new();
    for (record, answer) in fetch_reports(&records, ReportKind::Explain, subject)? {
        let Some(json) = answer else {
            eprintln!("{}: no answer", record.vm);
            continue;
        };
        let entries: Vec<Value> = serde_json::from_slice(&json)?;
        events.extend(entries.into_iter().map(|entry| (record.vm.clone(), entry)));
    }
    events.sort_by_key(|(_vm, entry)| entry["at_unix_ms"].as_u64());
    for (vm, entry) in &events {
        let (at, number) = (&entry["at_unix_ms"], &entry["number"]);
        let message = entry["message"].as_str().unwrap_or_default();
        println!("{at} {vm} {number} {message} {}", entry["fields"]);
    }
    Ok(EXIT_SUCCESS)
}
