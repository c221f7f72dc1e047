//! The `check` command.

use std::path::Path;

use amaranthgw_fleet::lists::OperatorLists;
use amaranthgw_fleet::settings::{EntrySettings, SidecarSettings};

use super::check_config;
use super::node::{read_file, reject_input};
use super::options::{CheckFiles, ListFiles};
use super::{EXIT_INVALID, EXIT_SUCCESS};

/// Validates every given file and prints the result for each.
pub(super) fn run(files: &CheckFiles) -> eyre::Result<u8> {
    let mut code = EXIT_SUCCESS;
    for path in &files.entry {
        let parsed = EntrySettings::parse(&read_file(path)?, &path.to_string_lossy());
        code = code.max(print_check(path, parsed.map(drop)));
    }
    for path in &files.sidecar {
        let parsed = SidecarSettings::parse(&read_file(path)?, &path.to_string_lossy());
        code = code.max(print_check(path, parsed.map(drop)));
    }
    match (&files.customers, &files.plans) {
        (Some(customers), Some(plans)) => {
            let lists = ListFiles {
                customers: customers.clone(),
                plans: plans.clone(),
            };
            let checked = read_lists(&lists)?.map(drop);
            code = code.max(print_check(customers, checked));
        }
        (None, None) => {}
        _ => code = reject_input(&"--customers and --plans must be given together"),
    }
    match (&files.config, &files.against) {
        (Some(config), against) => {
            let checked = check_config::run(config, against.as_deref(), files.json)?;
            code = code.max(checked);
        }
        (None, Some(_against)) => code = reject_input(&"--against requires --config"),
        (None, None) => {}
    }
    Ok(code)
}

/// Reads the two lists. The outer result fails on unreadable files, the inner on invalid lists.
pub(super) fn read_lists(
    files: &ListFiles,
) -> eyre::Result<Result<OperatorLists, amaranthgw_fleet::lists::ListError>> {
    let (customers, plans) = (read_file(&files.customers)?, read_file(&files.plans)?);
    Ok(OperatorLists::parse(
        &customers,
        &files.customers.to_string_lossy(),
        &plans,
        &files.plans.to_string_lossy(),
    ))
}

fn print_check(path: &Path, result: Result<(), impl std::fmt::Display>) -> u8 {
    match result {
        Ok(()) => {
            println!("{}: valid", path.display());
            EXIT_SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            EXIT_INVALID
        }
    }
}
