//! The amaranthgw program.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranthgw::cli::run()
}
