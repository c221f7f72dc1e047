//! The `status` command.

use std::net::SocketAddr;

use amaranthgw_fleet::membership::VmRecord;
use bytes::Bytes;
use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::runtime::Builder;
use tokio::time::Instant;

use super::EXIT_SUCCESS;
use super::commit::STORE_TIMEOUT;
use super::out::list_vms;
use crate::operator::read_config;
use crate::peer::{GrpcPeerLink, PeerLink, ReportKind};
use crate::platform::HttpStore;

/// Prints the accepted configuration change, what is out of service and the state of every node.
pub(super) fn run(store: SocketAddr, vm_list: SocketAddr, json: bool) -> eyre::Result<u8> {
    let records = list_vms(vm_list)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let view = runtime.block_on(async {
        read_config(&HttpStore::new(store), Instant::now() + STORE_TIMEOUT)
            .await
            .ok()
    });
    let answers = fetch_reports(&records, ReportKind::Status, "")?;
    let nodes: Vec<_> = answers
        .iter()
        .map(|(record, answer)| node_value(record, answer.as_ref()))
        .collect();
    let accepted = view.as_ref().map(|view| view.state.number);
    let outs = view.as_ref().map(|view| &view.state.outs);
    if json {
        println!(
            "{}",
            json!({ "accepted": accepted, "outs": outs, "nodes": nodes })
        );
        return Ok(EXIT_SUCCESS);
    }
    match accepted {
        Some(number) => println!("accepted change: {number}"),
        None => println!("accepted change: unknown, the key-value service does not answer"),
    }
    for out in view.iter().flat_map(|view| &view.state.outs) {
        println!("out: {}", serde_json::to_string(out)?);
    }
    print_nodes(&nodes);
    Ok(EXIT_SUCCESS)
}

/// Fetches a report from every node concurrently; `None` if a node returned none.
pub(super) fn fetch_reports(
    records: &[VmRecord],
    kind: ReportKind,
    subject: &str,
) -> eyre::Result<Vec<(VmRecord, Option<Bytes>)>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(async {
        let link = GrpcPeerLink::new();
        let queries = records.iter().map(|record| {
            let answer = link.report(record.address, kind, subject.to_owned());
            async move {
                (
                    record.clone(),
                    answer.await.ok().filter(|json| !json.is_empty()),
                )
            }
        });
        join_all(queries).await
    }))
}

fn node_value(record: &VmRecord, answer: Option<&Bytes>) -> Value {
    let report = answer.and_then(|json| serde_json::from_slice::<Value>(json).ok());
    report.unwrap_or_else(
        || json!({ "vm": record.vm, "domain": record.domain, "role": record.role, "change": null }),
    )
}

fn print_nodes(nodes: &[Value]) {
    println!(
        "{:<8} {:<20} {:<14} {:>7} {:<12} {:>9}",
        "role", "vm", "domain", "change", "stage", "in flight"
    );
    for node in nodes {
        let text = |key: &str| match node.get(key) {
            Some(Value::String(text)) => text.clone(),
            Some(Value::Null) | None => "-".to_owned(),
            Some(other) => other.to_string(),
        };
        let in_flight = format!("{}/{}", text("in_flight"), text("limit"));
        println!(
            "{:<8} {:<20} {:<14} {:>7} {:<12} {:>9}",
            text("role"),
            text("vm"),
            text("domain"),
            text("change"),
            text("stage"),
            in_flight
        );
    }
}
