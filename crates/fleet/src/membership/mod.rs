//! The VMs of the fleet as the platform's VM list names them.

mod record;

pub use record::{NodeIdentity, NodeRole, VmRecord, VmState};
