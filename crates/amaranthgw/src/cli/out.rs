//! The `out` and `back` commands.

use std::net::SocketAddr;

use amaranthgw_fleet::config::{ConfigEdit, OutScope};
use amaranthgw_fleet::membership::VmRecord;
use eyre::WrapErr;
use tokio::runtime::Builder;

use super::commit::commit_edits;
use super::node::reject_input;
use super::options::{OperatorOptions, ScopeOption};
use crate::platform::{HttpVmList, VmListClient};

/// Takes `scope` out of service. Without `force`, the VM list must name it.
pub(super) fn run_out(
    operator: &OperatorOptions,
    vm_list: SocketAddr,
    force: bool,
    scope: ScopeOption,
) -> eyre::Result<u8> {
    let scope = OutScope::from(scope);
    if !force && !is_listed(vm_list, &scope)? {
        return Ok(reject_input(
            &"no such VM or failure domain in the VM list; use --force to take it out anyway",
        ));
    }
    commit_edits(operator, |view| {
        let is_out = view.state.outs.contains(&scope);
        if is_out {
            Vec::new()
        } else {
            vec![ConfigEdit::TakeOut(scope)]
        }
    })
}

/// Brings `scope` back into service.
pub(super) fn run_back(operator: &OperatorOptions, scope: ScopeOption) -> eyre::Result<u8> {
    let scope = OutScope::from(scope);
    commit_edits(operator, |view| {
        let is_out = view.state.outs.contains(&scope);
        if is_out {
            vec![ConfigEdit::BringBack(scope)]
        } else {
            Vec::new()
        }
    })
}

fn is_listed(vm_list: SocketAddr, scope: &OutScope) -> eyre::Result<bool> {
    let records = list_vms(vm_list)?;
    Ok(records.iter().any(|record| match scope {
        OutScope::Vm(vm) => record.vm == *vm,
        OutScope::Domain(domain) => record.domain == *domain,
    }))
}

/// Fetches the VM list from the service at `address`.
pub(super) fn list_vms(address: SocketAddr) -> eyre::Result<Vec<VmRecord>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let listed = runtime.block_on(async { HttpVmList::new(address).list().await });
    listed.wrap_err("cannot read the VM list")
}
