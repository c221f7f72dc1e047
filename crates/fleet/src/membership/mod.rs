//! Fleet membership: the VMs of the platform's VM list.

mod record;

pub use record::{NodeIdentity, NodeRole, VmRecord, VmState};
