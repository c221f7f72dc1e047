//! The TCP proxy that cuts, holds, refuses or delays what passes through it.

mod control;
mod faults;
mod pump;
mod standin;

pub use standin::{ProxySettings, ProxyStandin};
