//! Measures the system on this machine.

use super::EXIT_DONE;
use crate::bench::{BenchEffort, BenchKind, run_bench};

/// Prints what the measurement of `kind` gave.
pub(super) fn run(kind: BenchKind, quick: bool, json: bool) -> eyre::Result<u8> {
    let effort = if quick {
        BenchEffort::Quick
    } else {
        BenchEffort::Full
    };
    let report = run_bench(kind, effort)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(EXIT_DONE)
}
