//! Protobuf messages between the processes of the system, and their conversion to the types of the
//! fleet crate.

mod convert;
#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::empty_structs_with_brackets,
    reason = "generated code"
)]
pub mod node;

pub use convert::{
    WireError, break_code_name, refusal_code_name, report_from_status, stage_name,
    status_from_report,
};
