//! Target selection, of single requests and of a simulated fleet of entries.

mod choices;
mod spread;
mod subset;
mod world;
