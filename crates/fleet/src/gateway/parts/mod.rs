//! Parts of prompts that targets still hold, and the reading time that they save.
//!
//! What is known of a target comes from the requests that this process sent there. Whether holding saves
//! anything is measured, not assumed: without a measured saving, parts have no effect on choices.

mod memory;
mod saving;
mod table;

pub use memory::{AnswerTiming, PartMemory};
pub use saving::{SavingGauge, SavingSample};
pub use table::{PartTable, PromptPart, TableLimits};
