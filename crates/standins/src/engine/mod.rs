//! The model engine: continuous batching, cold starts, fall-overs, late load reports and orders.

mod admission;
mod calls;
mod life;
mod log;
mod messages;
mod prefixes;
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
