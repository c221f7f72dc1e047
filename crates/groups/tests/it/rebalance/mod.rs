//! Tests of expert demand, rebalancing and map switches.

mod demand;
mod model;
mod planner;
mod switches;
