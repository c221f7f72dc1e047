//! Command-line options of the soak test.

use std::path::PathBuf;
use std::time::Duration;

/// Options of the soak test.
#[derive(Clone, Debug)]
pub(super) struct SoakOptions {
    /// Seeds to run; by default the regression seeds and the seed of CI.
    pub(super) seeds: Option<Vec<u64>>,
    /// Time for which random seeds are run instead.
    pub(super) time: Option<Duration>,
    /// Time in seconds within which the faults of one seed start.
    pub(super) seconds: u64,
    /// Number of gateways.
    pub(super) gateways: usize,
    /// Number of ranks, each with an agent.
    pub(super) ranks: u16,
    /// Number of callers per gateway.
    pub(super) callers: usize,
    /// The binary under test; by default the one built with this test.
    pub(super) binary: PathBuf,
    /// Whether to write and keep the processes' logs in the temporary folder.
    pub(super) keeps_logs: bool,
}

impl SoakOptions {
    /// Parses the arguments; unknown ones, which are for other test binaries, are ignored.
    pub(super) fn parse(arguments: impl Iterator<Item = String>) -> Self {
        let mut options = Self {
            seeds: None,
            time: None,
            seconds: 8,
            gateways: 3,
            ranks: 3,
            callers: 4,
            binary: env!("CARGO_BIN_EXE_amaranthgw").into(),
            keeps_logs: false,
        };
        let arguments: Vec<String> = arguments.collect();
        options.keeps_logs = arguments.iter().any(|name| name == "--logs");
        for pair in arguments.windows(2) {
            let number = || pair[1].parse::<u64>().expect("a number");
            match pair[0].as_str() {
                "--seeds" => options.seeds = Some(parse_seeds(&pair[1])),
                "--minutes" => options.time = Some(Duration::from_secs(60 * number())),
                "--binary" => options.binary = PathBuf::from(&pair[1]),
                "--seconds" => options.seconds = number(),
                "--gateways" => options.gateways = usize::try_from(number()).expect("a size"),
                "--ranks" => options.ranks = u16::try_from(number()).expect("a size"),
                "--callers" => options.callers = usize::try_from(number()).expect("a size"),
                _ => {}
            }
        }
        options
    }
}

/// Parses seeds such as `1..50` (inclusive) or `3,7,11`.
fn parse_seeds(text: &str) -> Vec<u64> {
    let number = |text: &str| text.parse::<u64>().expect("a seed");
    match text.split_once("..") {
        Some((first, last)) => (number(first)..=number(last)).collect(),
        None => text.split(',').map(number).collect(),
    }
}
