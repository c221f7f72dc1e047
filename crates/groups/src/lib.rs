//! Decisions for rank groups: which rank serves which experts, and how all ranks change from one
//! expert map to the next at the same step.
//!
//! The crate holds two independent designs, which share neither code nor state:
//!
//! - [`rebalance`] is the one in use. It plans placements from the counts that ranks report and
//!   switches a group by orders to its ranks. The rank agents of `amaranthgw` use it for the
//!   coordinator of their group, and `amaranthgw-platform` reads the reports from the ranks and
//!   sends them the orders.
//! - [`agreement`], [`placement`] and [`orders`] belong together: `placement` estimates popularity
//!   and plans an expert map, `agreement` commits the map at all sidecars of a group, and `orders`
//!   delivers orders to engines. No other crate uses them: `agreement` and `orders` are run only by
//!   this crate's tests, `placement` also by [`measure`].
//!
//! [`measure`] simulates the policies of [`placement`] for the example `measure`.
//!
//! The crate consists of plain functions, row types and systems over tables. It sends and receives
//! nothing: the actions to take are returned as effects. Time is an argument, except that
//! [`measure`] times plans with the system clock.

pub mod agreement;
pub mod measure;
pub mod orders;
pub mod placement;
pub mod rebalance;
