//! The rank agent. It runs next to one rank of a rank group, reports the rank's state and forwards
//! orders to it. The agent that holds the group's coordinator lease also rebalances the experts of
//! the group.

mod coordinator;
mod dispatch;
mod election;
mod error;
mod experts;
mod known_map;
mod link;
mod loads;
mod local_rank;
mod message;
mod process;
mod relay;
mod roster;
mod service;
mod switch_report;

pub use error::{AgentError, Result};
pub(crate) use link::GROUP_PATH;
pub use process::AgentProcess;
