//! The command-line interface.

mod bench;
mod check;
mod check_config;
mod commit;
mod explain;
mod node;
mod options;
mod out;
mod report;
mod standin;
mod status;

use std::process::ExitCode;

use crate::demo::run_demo;
use options::{CliCommand, cli_command};

/// Exit code of a command that succeeded.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code of a command that failed, and of a demo in which a guarantee broke. A commit that ends
/// with this code because the key-value service was unavailable changed nothing.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command with invalid arguments or input files.
pub const EXIT_INVALID: u8 = 2;

/// Parses the command line, runs the command and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let command = match cli_command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(LINE_WIDTH);
            return if failure.exit_code() == 0 {
                ExitCode::SUCCESS
            } else {
                EXIT_INVALID.into()
            };
        }
    };
    match run_command(command) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("amaranthgw: {error:#}");
            EXIT_FAILED.into()
        }
    }
}

/// Width at which help and error messages wrap, in characters.
const LINE_WIDTH: usize = 100;

fn run_command(command: CliCommand) -> eyre::Result<u8> {
    match command {
        CliCommand::Entry { settings, verbose } => node::run_entry(&settings, verbose),
        CliCommand::Sidecar { settings, verbose } => node::run_sidecar(&settings, verbose),
        CliCommand::Gateway { settings } => node::run_gateway(&settings),
        CliCommand::Agent { settings } => node::run_agent(&settings),
        CliCommand::Check { files } => check::run(&files),
        CliCommand::Apply { operator, lists } => commit::run_apply(&operator, &lists),
        CliCommand::Out {
            operator,
            fleet,
            force,
            scope,
        } => out::run_out(&operator, fleet.vm_list, force, scope),
        CliCommand::Back { operator, scope } => out::run_back(&operator, scope),
        CliCommand::Status { store, fleet, json } => status::run(store, fleet.vm_list, json),
        CliCommand::Report { fleet, json } => report::run(fleet.vm_list, json),
        CliCommand::Explain { fleet, subject } => explain::run(fleet.vm_list, &subject),
        CliCommand::Demo => Ok(if run_demo()? {
            EXIT_SUCCESS
        } else {
            EXIT_FAILED
        }),
        CliCommand::Bench { quick, json, kind } => bench::run(kind, quick, json),
        CliCommand::Standin {
            listen,
            settings,
            kind,
        } => standin::run(kind, listen, &settings),
    }
}
