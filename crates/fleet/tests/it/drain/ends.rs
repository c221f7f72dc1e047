//! No work is sent once either end of a call knows of a drain, although entry and sidecar learn of
//! changes late and in different orders.

use std::time::Duration;

use amaranthgw_core::{ChangeNumber, SlotCount};
use amaranthgw_fleet::drain::{
    DrainRow, DrainSettings, DrainSignals, DrainStage, DrainTransition, VmListing,
};
use proptest::prelude::*;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// Operators take the target out of service or return it.
    Change {
        is_out: bool,
    },
    /// One end receives a configuration change, possibly an old one again.
    Receive {
        end: usize,
        change: usize,
    },
    /// One end reads the VM list.
    ListVm {
        end: usize,
        vm: VmListing,
    },
    /// The sidecar is asked to terminate and learns of it at once.
    Terminate,
    Send,
    Finish,
    Advance(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    let end = 0..2_usize;
    let vm = prop_oneof![
        4 => Just(VmListing::Live),
        1 => Just(VmListing::Leaving),
        1 => Just(VmListing::Unknown),
    ];
    prop_oneof![
        2 => any::<bool>().prop_map(|is_out| Event::Change { is_out }),
        6 => (end.clone(), any::<usize>()).prop_map(|(end, change)| Event::Receive { end, change }),
        3 => (end, vm).prop_map(|(end, vm)| Event::ListVm { end, vm }),
        1 => Just(Event::Terminate),
        8 => Just(Event::Send),
        6 => Just(Event::Finish),
        4 => (1..6_000_u64).prop_map(Event::Advance),
    ]
}

/// One end of a call: the row under test and the inputs it has received.
struct End {
    row: DrainRow,
    newest: usize,
    vm: VmListing,
    vm_left_at: Option<Instant>,
}

struct Harness {
    now: Instant,
    changes: Vec<bool>,
    /// The entry, then the sidecar.
    ends: Vec<End>,
    /// Reaches the entry too, with its next observation.
    is_terminating: bool,
    in_flight: u32,
}

impl Harness {
    fn new() -> Self {
        let now = Instant::now();
        let signals = DrainSignals {
            change: ChangeNumber::new(0),
            is_out: false,
            vm: VmListing::Live,
            is_terminating: false,
        };
        let end = |_| End {
            row: DrainRow::new(DrainSettings::default(), signals, now),
            newest: 0,
            vm: VmListing::Live,
            vm_left_at: None,
        };
        Self {
            now,
            changes: vec![false],
            ends: (0..2).map(end).collect(),
            is_terminating: false,
            in_flight: 0,
        }
    }

    fn observe(&mut self, end: usize, change: usize) -> std::result::Result<(), TestCaseError> {
        let signals = DrainSignals {
            change: ChangeNumber::new(change as u64),
            is_out: self.changes[change],
            vm: self.ends[end].vm,
            is_terminating: self.is_terminating,
        };
        let in_flight = SlotCount::new(self.in_flight);
        let transition = self.ends[end].row.observe(signals, in_flight, self.now);
        let is_emptied = matches!(transition, DrainTransition::Emptied { .. });
        prop_assert!(
            !is_emptied || self.in_flight == 0,
            "drained with requests in flight"
        );
        Ok(())
    }

    fn apply(&mut self, event: Event) -> std::result::Result<(), TestCaseError> {
        match event {
            Event::Change { is_out } => self.changes.push(is_out),
            Event::Receive { end, change } => {
                let change = change % self.changes.len();
                self.ends[end].newest = self.ends[end].newest.max(change);
                self.observe(end, change)?;
            }
            Event::ListVm { end, vm } => {
                let end_row = &mut self.ends[end];
                end_row.vm = vm;
                if vm == VmListing::Leaving {
                    end_row.vm_left_at = Some(self.now);
                }
                self.observe(end, self.ends[end].newest)?;
            }
            Event::Terminate => {
                self.is_terminating = true;
                self.observe(1, self.ends[1].newest)?;
            }
            Event::Send => self.send()?,
            Event::Finish => self.in_flight = self.in_flight.saturating_sub(1),
            Event::Advance(millis) => self.now += Duration::from_millis(millis),
        }
        Ok(())
    }

    fn send(&mut self) -> std::result::Result<(), TestCaseError> {
        let admits = |end: &End| end.row.admit(self.now).is_ok();
        if !self.ends.iter().all(admits) {
            return Ok(());
        }
        self.in_flight += 1;
        prop_assert!(
            !self.is_terminating,
            "new work after the request to terminate"
        );
        for (position, end) in self.ends.iter().enumerate() {
            prop_assert!(
                !self.changes[end.newest],
                "end {position} knows that the target is out of service"
            );
            prop_assert!(
                end.vm != VmListing::Leaving,
                "end {position} knows that the VM is leaving"
            );
            let return_time = DrainSettings::default().vm_return.duration();
            let has_passed = end
                .vm_left_at
                .is_none_or(|left_at| left_at + return_time <= self.now);
            prop_assert!(
                has_passed,
                "end {position} returned the VM to service too early"
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_500) })]

    #[test]
    fn admit_no_work_once_known(events in prop::collection::vec(any_event(), 1..100)) {
        let mut harness = Harness::new();
        for event in events {
            harness.apply(event)?;
        }
        if harness.is_terminating {
            prop_assert!(harness.ends[1].row.stage() != DrainStage::Serving);
        }
    }
}
