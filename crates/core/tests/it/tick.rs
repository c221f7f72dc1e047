use amaranthgw_core::{EntityTable, TickSchedule, TickSystem, VmId};
use tokio::time::Instant;

#[derive(Debug)]
struct AppendSystem(&'static str);

impl TickSystem<Vec<&'static str>> for AppendSystem {
    fn name(&self) -> &'static str {
        self.0
    }

    fn run(&mut self, world: &mut Vec<&'static str>, _now: Instant) {
        world.push(self.0);
    }
}

#[test]
fn run_keeps_order() {
    let mut schedule = TickSchedule::new()
        .with_system(AppendSystem("first"))
        .with_system(AppendSystem("second"));
    let mut world = Vec::new();
    schedule.run(&mut world, Instant::now());
    assert_eq!(world, ["first", "second"]);
    assert!(schedule.names().eq(["first", "second"]));
}

#[test]
fn remove_keeps_other_rows() {
    let id = |text: &str| text.parse::<VmId>().expect("valid id");
    let mut table: EntityTable<VmId, u32> = [(id("a"), 1), (id("b"), 2), (id("c"), 3)]
        .into_iter()
        .collect();
    assert_eq!(table.remove(&id("a")), Some(1));
    assert_eq!(table.get(&id("b")), Some(&2));
    assert_eq!(table.get(&id("c")), Some(&3));
    assert_eq!(table.len(), 2);
}
