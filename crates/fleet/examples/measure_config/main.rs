//! Measures the configuration: sizes and apply times, relay rounds, and the cost of control.

mod fleet;
mod relay;
mod sizes;

use amaranthgw_core::{DomainId, VmId};
use amaranthgw_fleet::config::RelayVm;

/// Seed of every random choice.
const SEED: u64 = 20_000;
/// Failure domains of the measured fleets.
const DOMAINS: usize = 36;

fn main() {
    println!("| workspaces | base bytes | first change bytes | change bytes | memory bytes |");
    println!("| --- | --- | --- | --- | --- |");
    sizes::print_sizes();
    println!("\n| workspaces | read lists us | diff us | apply us | apply by copy us |");
    println!("| --- | --- | --- | --- | --- |");
    sizes::print_times();
    println!("\n| nodes | plan us | start | dead % | rounds | reached % | sent mean | sent max |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    relay::print_rounds();
    println!(
        "\n| nodes | isolated | p50 ms | p99 ms | max ms | isolated p50 ms | isolated max ms \
         | messages/s | max | bytes/s | max | store calls/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    fleet::print_spread();
}

/// The VM list of `count` nodes, spread evenly.
fn vm_list(count: usize) -> Vec<RelayVm> {
    let row = |index: usize| RelayVm {
        vm: parsed::<VmId>(&format!("vm-{index}.region-{}.example", index % 10)),
        domain: parsed::<DomainId>(&format!("domain-{}", index % DOMAINS)),
    };
    (0..count).map(row).collect()
}

/// The identifier written as `text`.
fn parsed<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid identifier")
}

/// `count` as a floating-point number.
fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
