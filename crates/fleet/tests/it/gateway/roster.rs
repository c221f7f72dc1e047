//! Registrations of gateways.

use amaranthgw_core::{StoreRevision, VmId};
use amaranthgw_fleet::gateway::{GatewayRoster, RosterEntry, RosterReading};

fn vm(name: &str) -> VmId {
    name.parse().expect("vm")
}

fn registration(name: &str, written: u64) -> RosterEntry {
    RosterEntry {
        vm: vm(name),
        written: StoreRevision::new(written),
    }
}

fn live(reading: &RosterReading) -> Vec<&str> {
    reading.live.iter().map(VmId::as_str).collect()
}

#[test]
fn adopt_new_gateway_settles_with_own_entry() {
    let mut roster = GatewayRoster::new(vm("own"));
    let first = roster.adopt(vec![registration("a", 1)]);
    assert!(!first.is_settled);
    assert!(first.is_first_start);
    let soon = roster.interval();
    let second = roster.adopt(vec![
        registration("a", 1),
        registration("b", 2),
        registration("own", 3),
    ]);
    assert!(second.is_settled);
    assert!(second.is_first_start);
    assert_eq!(live(&second), ["a", "b"]);
    assert!(roster.interval() > soon);
}

#[test]
fn adopt_restarted_gateway_settled_at_once() {
    let mut roster = GatewayRoster::new(vm("own"));
    let reading = roster.adopt(vec![registration("a", 1), registration("own", 2)]);
    assert!(reading.is_settled);
    assert!(!reading.is_first_start);
    assert_eq!(live(&reading), ["a"]);
}

#[test]
fn adopt_unchanged_entry_departs() {
    let mut roster = GatewayRoster::new(vm("own"));
    let mut readings = Vec::new();
    for read in 0..8 {
        readings.push(roster.adopt(vec![registration("gone", 1), registration("here", read)]));
    }
    assert_eq!(live(&readings[2]), ["gone", "here"]);
    assert_eq!(live(&readings[3]), ["here"]);
    assert!(readings[5].departed.is_empty());
    assert_eq!(readings[6].departed, [registration("gone", 1)]);
    // It has returned.
    let returned = roster.adopt(vec![registration("gone", 9), registration("here", 8)]);
    assert_eq!(live(&returned), ["gone", "here"]);
}
