//! Choosing targets, for one request and for many entries.

mod choices;
mod spread;
mod subset;
mod world;
