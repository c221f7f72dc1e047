//! The rank group: ranks that advance in lock-step on an expert map.

mod calls;
mod loading;
mod log;
mod maps;
mod messages;
mod rows;
mod settings;
mod shares;
mod source;
mod standin;
mod systems;
mod world;

pub use settings::GroupSettings;
pub use standin::GroupStandin;
