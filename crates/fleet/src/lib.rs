//! State and decisions of the load balancer's processes, in two designs.
//!
//! - A [`gateway`] accepts callers' requests and forwards them directly to the targets in the
//!   platform's registry. Its routing and retry decisions are all in that one module.
//! - An [`entry`] accepts callers' requests and dispatches them to [`sidecar`]s. A sidecar is the
//!   only client of one target and admits the requests to it with a [`gate`]. An entry uses
//!   [`routing`], [`retries`], [`answers`], [`claims`], [`limits`] and [`burn`] (use of the error
//!   budget); entries and sidecars both use [`membership`], [`config`] and [`suspects`]. [`drain`]
//!   belongs to this design as well, but no process calls it.
//!
//! A gateway keeps the bodies that it holds for others within a [`memory`] budget.
//!
//! All processes read their [`settings`]; [`lists`] parses the operators' lists of customers and
//! plans.
//!
//! This crate does no I/O and reads no clock: callers pass in the time. Message encodings are left
//! to other crates.

pub mod answers;
pub mod burn;
pub mod claims;
pub mod config;
pub mod drain;
pub mod entry;
pub mod gate;
pub mod gateway;
pub mod limits;
pub mod lists;
pub mod membership;
pub mod memory;
pub mod retries;
pub mod routing;
pub mod settings;
pub mod sidecar;
pub mod suspects;
