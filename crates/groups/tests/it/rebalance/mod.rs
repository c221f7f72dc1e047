//! Tests of expert demand, rebalancing and map switches.

mod delta;
mod demand;
mod history;
mod model;
mod planner;
mod recovery;
mod selections;
mod switches;
