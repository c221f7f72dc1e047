//! Actors of the control thread that connect a node to the platform's services.

mod adapter;
mod claim_actor;
mod config_actor;
mod reports;
mod share_actor;
mod suspect_tracker;
mod vm_list_actor;

pub use adapter::PlatformAdapter;
pub use claim_actor::{ClaimActor, ClaimInput, ClaimManager, ClaimRequest};
pub use config_actor::{ConfigActor, ConfigArguments, ConfigInput, ConfigSink};
pub use reports::{ReportSender, forward_reports, report_channel};
pub use share_actor::{ShareActor, ShareArguments, ShareInput};
pub use suspect_tracker::{SuspectTracker, call_fingerprint};
pub use vm_list_actor::{VmListActor, VmListArguments, VmListSink};
