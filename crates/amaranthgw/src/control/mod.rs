//! Actors of the control thread that carry the borders to the platform.

mod border;
mod claim_actor;
mod config_actor;
mod reports;
mod share_actor;
mod suspicion;
mod vms_actor;

pub use border::PlatformBorder;
pub use claim_actor::{ClaimActor, ClaimDesk, ClaimInput, ClaimRequest};
pub use config_actor::{ConfigActor, ConfigArguments, ConfigInput, ConfigSink};
pub use reports::{ReportSender, forward_reports, report_channel};
pub use share_actor::{ShareActor, ShareArguments, ShareInput};
pub use suspicion::{SuspectDesk, call_fingerprint};
pub use vms_actor::{VmListActor, VmListArguments, VmListSink};
