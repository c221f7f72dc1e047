//! Plan limits: enforcement at one entry and division among several.

mod desk;
mod meters;
mod shares;
mod world;
