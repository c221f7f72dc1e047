//! Number of targets that a poison request crashes, under generated schedules of resends and
//! delayed exchange of rows between processes.

use std::time::Duration;

use amaranthgw_fleet::suspects::{
    IsolationRow, SuspectLevel, SuspectSettings, SuspectTable, SuspectVerdict,
};
use proptest::prelude::*;
use tokio::time::Instant;

use super::merge::{death, fingerprint, running};

const ENTRIES: usize = 2;
const SIDECARS: usize = 4;
const POISON: u32 = 0;
const BODIES: u32 = 5;
const REFUSE_AFTER: usize = 2;

#[derive(Clone, Debug)]
enum Event {
    Start {
        entry: usize,
        sidecar: usize,
        body: u32,
    },
    Finish {
        sidecar: usize,
        choice: usize,
    },
    /// Crashes the target of a sidecar, if the poison request runs there.
    Kill(usize),
    /// Delivers one of the rows in transit.
    Deliver(usize),
    /// Moves the isolation lease to a sidecar.
    MoveIsolation(usize),
}

fn any_event() -> impl Strategy<Value = Event> {
    let body = prop_oneof![3 => Just(POISON), 4 => 1..BODIES];
    prop_oneof![
        10 => (0..ENTRIES, 0..SIDECARS, body)
            .prop_map(|(entry, sidecar, body)| Event::Start { entry, sidecar, body }),
        4 => (0..SIDECARS, any::<usize>())
            .prop_map(|(sidecar, choice)| Event::Finish { sidecar, choice }),
        5 => (0..SIDECARS).prop_map(Event::Kill),
        30 => any::<usize>().prop_map(Event::Deliver),
        1 => (0..SIDECARS).prop_map(Event::MoveIsolation),
    ]
}

struct Sidecar {
    table: SuspectTable,
    mark: u64,
    bodies: Vec<u32>,
    isolation: IsolationRow,
    runs_alone: bool,
}

struct SuspectSim {
    now: Instant,
    unix_ms: u64,
    entries: Vec<SuspectTable>,
    sidecars: Vec<Sidecar>,
    in_transit: Vec<(usize, SuspectVerdict)>,
    /// All deaths, as if rows arrived immediately.
    truth: SuspectTable,
    deaths: usize,
    /// Starts of the poison request before the first death, or at a sidecar that has not learned of
    /// an earlier one.
    unaware_starts: usize,
}

impl SuspectSim {
    fn new() -> Self {
        let now = Instant::now();
        let table = || SuspectTable::new(SuspectSettings::default());
        let sidecar = |_| Sidecar {
            table: table(),
            mark: 1,
            bodies: Vec::new(),
            isolation: IsolationRow::new(),
            runs_alone: false,
        };
        let mut sim = Self {
            now,
            unix_ms: 1_000,
            entries: (0..ENTRIES).map(|_| table()).collect(),
            sidecars: (0..SIDECARS).map(sidecar).collect(),
            in_transit: Vec::new(),
            truth: table(),
            deaths: 0,
            unaware_starts: 0,
        };
        sim.move_isolation(0);
        sim
    }

    fn apply(&mut self, event: &Event) {
        self.unix_ms += 1;
        match *event {
            Event::Start {
                entry,
                sidecar,
                body,
            } => self.start(entry, sidecar, body),
            Event::Finish { sidecar, choice } => self.finish(sidecar, choice),
            Event::Kill(sidecar) => self.kill(sidecar),
            Event::Deliver(choice) => self.deliver(choice),
            Event::MoveIsolation(sidecar) => self.move_isolation(sidecar),
        }
    }

    /// Sends a request with the entry's verdict on it; the sidecar decides whether it may start.
    fn start(&mut self, entry: usize, sidecar: usize, body: u32) {
        let fingerprint_of_body = fingerprint(body);
        let unix_ms = self.unix_ms;
        let known = self.entries[entry]
            .rows()
            .find(|row| row.fingerprint == fingerprint_of_body);
        let node = &mut self.sidecars[sidecar];
        if let Some(verdict) = known {
            node.table.merge(verdict, unix_ms);
        }
        let level = node.table.level(&fingerprint_of_body, unix_ms);
        let may_start = match level {
            SuspectLevel::Clear => !node.runs_alone,
            SuspectLevel::Suspect { .. } => {
                let latest_end = self.now + Duration::from_secs(1);
                let is_empty = node.bodies.is_empty();
                is_empty
                    && node
                        .isolation
                        .start(fingerprint_of_body, latest_end, self.now)
                        .is_ok()
            }
            SuspectLevel::Refused { .. } => false,
        };
        if !may_start {
            return;
        }
        node.runs_alone = level != SuspectLevel::Clear;
        node.bodies.push(body);
        let is_unaware = self.deaths == 0 || self.misses_death(sidecar);
        self.unaware_starts += usize::from(body == POISON && is_unaware);
    }

    fn misses_death(&self, sidecar: usize) -> bool {
        let of_poison = |table: &SuspectTable| {
            let mut rows = table.rows();
            let row = rows.find(|row| row.fingerprint == fingerprint(POISON));
            row.map_or(0, |row| row.deaths.len())
        };
        of_poison(&self.sidecars[sidecar].table) < of_poison(&self.truth)
    }

    fn finish(&mut self, sidecar: usize, choice: usize) {
        let node = &mut self.sidecars[sidecar];
        let Some(position) = choice.checked_rem(node.bodies.len()) else {
            return;
        };
        if node.bodies[position] == POISON {
            return;
        }
        let body = node.bodies.swap_remove(position);
        node.end_alone();
        let verdict = node.table.record_finish(fingerprint(body));
        self.spread(verdict);
    }

    fn kill(&mut self, sidecar: usize) {
        let node = &mut self.sidecars[sidecar];
        if !node.bodies.contains(&POISON) {
            return;
        }
        let death = death(sidecar, node.mark, self.unix_ms);
        let running = running(&std::mem::take(&mut node.bodies));
        node.mark += 1;
        node.end_alone();
        let verdicts = node.table.record_death(&death, &running);
        self.truth.record_death(&death, &running);
        self.deaths += 1;
        self.spread(verdicts);
    }

    fn spread(&mut self, verdicts: impl IntoIterator<Item = SuspectVerdict>) {
        for verdict in verdicts {
            let receivers = (0..ENTRIES + SIDECARS).map(|node| (node, verdict.clone()));
            self.in_transit.extend(receivers);
        }
    }

    fn deliver(&mut self, choice: usize) {
        let Some(position) = choice.checked_rem(self.in_transit.len()) else {
            return;
        };
        let (node, verdict) = self.in_transit.swap_remove(position);
        let table = match node.checked_sub(ENTRIES) {
            Some(sidecar) => &mut self.sidecars[sidecar].table,
            None => &mut self.entries[node],
        };
        table.merge(&verdict, self.unix_ms);
    }

    /// Moves the lease to another sidecar, unless the current holder is running a suspect.
    fn move_isolation(&mut self, sidecar: usize) {
        if self
            .sidecars
            .iter()
            .any(|node| node.isolation.running().is_some())
        {
            return;
        }
        for node in &mut self.sidecars {
            node.isolation.lose_lease();
        }
        let until = self.now + Duration::from_secs(5);
        self.sidecars[sidecar].isolation.hold_lease(until);
    }
}

impl Sidecar {
    fn end_alone(&mut self) {
        if self.runs_alone {
            self.runs_alone = false;
            self.isolation.end();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_500) })]

    #[test]
    fn record_death_poison_bound(events in prop::collection::vec(any_event(), 1..250)) {
        let mut sim = SuspectSim::new();
        for event in &events {
            sim.apply(event);
            let alone = sim.sidecars.iter().filter(|node| node.runs_alone);
            prop_assert!(alone.count() <= 1, "two suspects are running");
        }
        let bound = sim.unaware_starts + REFUSE_AFTER;
        prop_assert!(sim.deaths <= bound, "{} deaths, bound {bound}", sim.deaths);
    }

    #[test]
    fn record_death_innocents_cleared(events in prop::collection::vec(any_event(), 1..250)) {
        let mut sim = SuspectSim::new();
        for event in &events {
            sim.apply(event);
        }
        while !sim.in_transit.is_empty() {
            sim.deliver(0);
        }
        let unix_ms = sim.unix_ms;
        let poison = sim.entries[0].level(&fingerprint(POISON), unix_ms);
        let is_refused = matches!(poison, SuspectLevel::Refused { .. });
        for table in sim.sidecars.iter().map(|node| &node.table) {
            prop_assert_eq!(table.level(&fingerprint(POISON), unix_ms), poison);
            for body in 1..BODIES {
                let level = table.level(&fingerprint(body), unix_ms);
                prop_assert!(level.check().is_ok());
                prop_assert!(!is_refused || level == SuspectLevel::Clear, "{level:?}");
            }
        }
    }
}

#[test]
fn record_finish_clears() {
    let mut table = SuspectTable::new(SuspectSettings::default());
    table.record_death(&death(0, 1, 10), &running(&[1, 2]));
    let suspect = SuspectLevel::Suspect { deaths: 1 };
    assert_eq!(table.level(&fingerprint(1), 11), suspect);
    assert!(table.record_finish(fingerprint(1)).is_some());
    assert_eq!(table.level(&fingerprint(1), 11), SuspectLevel::Clear);
    assert_eq!(table.level(&fingerprint(2), 11), suspect);
    assert_eq!(table.record_finish(fingerprint(1)), None);
}

#[test]
fn record_death_partial_view() {
    let mut table = SuspectTable::new(SuspectSettings::default());
    for mark in 1..=3 {
        let mut partial = death(0, mark, mark);
        partial.is_whole_view = false;
        table.record_death(&partial, &running(&[1]));
    }
    let suspect = SuspectLevel::Suspect { deaths: 3 };
    assert_eq!(table.level(&fingerprint(1), 11), suspect);
}
