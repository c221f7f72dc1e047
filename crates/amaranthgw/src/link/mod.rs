//! Client side of the connections from an entry to sidecars.

mod attempt;
mod grpc;

pub use attempt::{
    AttemptEvent, AttemptRequest, AttemptStream, BreakCode, LinkError, RefusalCode, Result,
    TargetLink,
};
pub use grpc::GrpcLink;
