//! The `amaranthgw` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranthgw::cli::run()
}
