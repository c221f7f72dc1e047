//! Plan limits at one entry and over several.

mod meters;
mod shares;
mod world;
