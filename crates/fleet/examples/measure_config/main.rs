//! Measures the configuration: sizes, apply times, relay rounds, propagation delay and message
//! cost.

mod fleet;
mod relay;
mod sizes;

use amaranthgw_core::{DomainId, VmId};
use amaranthgw_fleet::config::RelayVm;

/// Seed of the random number generators.
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
    fleet::print_propagation();
}

/// Creates a VM list of `count` nodes that are spread evenly over the failure domains.
fn vm_list(count: usize) -> Vec<RelayVm> {
    let row = |index: usize| RelayVm {
        vm: parse_id::<VmId>(&format!("vm-{index}.region-{}.example", index % 10)),
        domain: parse_id::<DomainId>(&format!("domain-{}", index % DOMAINS)),
    };
    (0..count).map(row).collect()
}

/// Parses the identifier in `text`.
fn parse_id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid identifier")
}

/// Converts `count` to a floating-point number.
fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
