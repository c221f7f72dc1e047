//! Prints a simulated measurement of the placement policies of rank groups.
//!
//! `cargo run --release -p amaranthgw-groups --example measure -- --seed N`

use std::process::ExitCode;

use amaranthgw_groups::measure;

const USAGE: &str = "usage: measure [--seed N]";
const DEFAULT_SEED: u64 = 1;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(seed) = parse_seed(&arguments) else {
        eprintln!("{USAGE}");
        return ExitCode::FAILURE;
    };
    print!("{}", measure::run(seed));
    ExitCode::SUCCESS
}

fn parse_seed(arguments: &[String]) -> Option<u64> {
    match arguments {
        [] => Some(DEFAULT_SEED),
        [flag, seed] if flag == "--seed" => seed.parse().ok(),
        _ => None,
    }
}
