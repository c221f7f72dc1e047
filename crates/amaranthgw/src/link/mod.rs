//! The way from an entry to the sidecars.

mod grpc;
mod step;

pub use grpc::GrpcLink;
pub use step::{
    AttemptOrder, AttemptStep, AttemptStream, BreakCode, LinkError, RefusalCode, Result, TargetLink,
};
