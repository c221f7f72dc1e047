//! Actors of the control thread that carry the borders to the platform.

mod config_actor;
mod reports;
mod vms_actor;

pub use config_actor::{ConfigActor, ConfigArguments, ConfigSink};
pub use reports::{ReportSender, forward_reports, report_channel};
pub use vms_actor::{VmListActor, VmListArguments, VmListSink};
