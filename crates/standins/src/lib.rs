//! Test stand-ins for the platform's services and for targets, described in `docs/STANDINS.md`.
//!
//! Each stand-in is created from its settings and started on a listening address with
//! [`Standin::start`]. It runs on the current tokio runtime until its [`RunningStandin`] is stopped
//! or dropped. Each stand-in keeps its state in entity tables behind one lock.

mod engine;
mod error;
mod group;
mod http;
mod kind;
mod lagged;
mod lock;
mod marks;
mod orders;
mod plain;
mod proxy;
mod reserved;
mod run;
mod running;
mod settings;
pub mod site;
mod store;
mod units;
mod vms;
mod weights;

pub use engine::{EngineSettings, EngineStandin, chunk_text, prefix_hash};
pub use error::{Result, StandinError};
pub use group::{GroupSettings, GroupStandin};
pub use kind::StandinKind;
pub use plain::{PlainSettings, PlainStandin};
pub use proxy::{ProxySettings, ProxyStandin};
pub use reserved::ReservedPort;
pub use run::run_standin;
pub use running::{RunningStandin, Standin};
pub use store::{StoreSettings, StoreStandin};
pub use vms::{ListedVm, VmListBody, VmListSettings, VmListStandin, VmRole, VmState};
pub use weights::{WeightSettings, WeightStandin};
