//! Small stand-ins for the platform and the targets, described in `docs/STANDINS.md`.
//!
//! Every stand-in is created from its settings and started on a listening address through
//! [`Standin::start`]; it runs on the current tokio runtime until its [`RunningStandin`] is
//! stopped or dropped. State lies in entity tables behind one lock per stand-in.

mod engine;
mod error;
mod http;
mod lagged;
mod lock;
mod millis;
mod orders;
mod plain;
mod running;
mod settings;
mod store;
mod vms;

pub use engine::{EngineSettings, EngineStandin, chunk_text, prefix_hash};
pub use error::{Result, StandinError};
pub use plain::{PlainSettings, PlainStandin};
pub use running::{RunningStandin, Standin};
pub use store::{StoreSettings, StoreStandin};
pub use vms::{ListedVm, VmListBody, VmListSettings, VmListStandin, VmRole, VmState};
