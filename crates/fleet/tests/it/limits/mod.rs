//! Plan limits at one entry and over several.

mod desk;
mod meters;
mod shares;
mod world;
