//! Checks settings and lists.

use std::path::Path;

use amaranthgw_fleet::lists::OperatorLists;
use amaranthgw_fleet::settings::{EntrySettings, SidecarSettings};

use super::node::{read, refuse};
use super::options::{CheckFiles, ListFiles};
use super::{EXIT_DONE, EXIT_INVALID};

/// Checks every named file and prints what is wrong.
pub(super) fn run(files: &CheckFiles) -> eyre::Result<u8> {
    let mut code = EXIT_DONE;
    for path in &files.entry {
        let parsed = EntrySettings::parse(&read(path)?, &path.to_string_lossy());
        code = code.max(print_verdict(path, parsed.map(drop)));
    }
    for path in &files.sidecar {
        let parsed = SidecarSettings::parse(&read(path)?, &path.to_string_lossy());
        code = code.max(print_verdict(path, parsed.map(drop)));
    }
    match (&files.customers, &files.plans) {
        (Some(customers), Some(plans)) => {
            let lists = ListFiles {
                customers: customers.clone(),
                plans: plans.clone(),
            };
            let checked = read_lists(&lists)?.map(drop);
            code = code.max(print_verdict(customers, checked));
        }
        (None, None) => {}
        _ => code = refuse(&"--customers and --plans go together"),
    }
    Ok(code)
}

/// Reads the two lists, or says what is wrong with them.
pub(super) fn read_lists(
    files: &ListFiles,
) -> eyre::Result<Result<OperatorLists, amaranthgw_fleet::lists::ListError>> {
    let (customers, plans) = (read(&files.customers)?, read(&files.plans)?);
    Ok(OperatorLists::parse(
        &customers,
        &files.customers.to_string_lossy(),
        &plans,
        &files.plans.to_string_lossy(),
    ))
}

fn print_verdict(path: &Path, verdict: Result<(), impl std::fmt::Display>) -> u8 {
    match verdict {
        Ok(()) => {
            println!("{}: valid", path.display());
            EXIT_DONE
        }
        Err(error) => {
            eprintln!("{error}");
            EXIT_INVALID
        }
    }
}
