//! TCP proxy that cuts, refuses, holds or delays the connections through it.

mod control;
mod faults;
mod forward;
mod standin;

pub use standin::{ProxySettings, ProxyStandin};
