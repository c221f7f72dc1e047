//! Plan limits: enforcement at one entry and division among several.

mod manager;
mod meters;
mod shares;
mod world;
