//! Expert demand, placement and map switches on the platform's orders.

mod demand;
mod model;
mod planner;
mod switches;
