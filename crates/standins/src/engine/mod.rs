//! Model engine with continuous batching, cold starts, crashes, lagging load reports and orders.

mod admission;
mod calls;
mod log;
mod messages;
mod prefixes;
mod process;
mod rows;
mod settings;
mod standin;
mod stream;
mod systems;
mod text;
mod world;

pub use settings::EngineSettings;
pub use standin::EngineStandin;
pub use text::{chunk_text, prefix_hash};
