//! List of live and leaving VMs, served with a lag.

mod list;
mod standin;

pub use list::{ListedVm, VmListBody, VmRole, VmState};
pub use standin::{VmListSettings, VmListStandin};
