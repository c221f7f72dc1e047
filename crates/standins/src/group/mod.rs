//! Rank group: ranks that step in lock-step, load experts and switch expert maps on orders.

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
