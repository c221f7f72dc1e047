//! The `bench` command.

use super::EXIT_SUCCESS;
use crate::bench::{BenchEffort, BenchKind, run_bench};

/// Runs the benchmark `kind` and prints its result.
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
    Ok(EXIT_SUCCESS)
}
