//! Answer reassembly under reordering, duplicates, losses and abandoned attempts.

use amaranthgw_core::{AttemptNumber, ByteCount, ChunkSequence};
use amaranthgw_fleet::answers::{
    AnswerEnd, AnswerError, AnswerRow, AnswerState, ChunkVerdict, StreamChunk,
};
use proptest::prelude::*;

/// Content that `attempt` sends at `sequence`; it differs between attempts.
fn chunk_data(attempt: AttemptNumber, sequence: u64) -> Vec<u8> {
    format!("{attempt}:{sequence};").into_bytes()
}

fn chunk(attempt: u32, sequence: u64) -> StreamChunk<Vec<u8>> {
    let attempt = AttemptNumber::new(attempt);
    StreamChunk {
        attempt,
        sequence: ChunkSequence::new(sequence),
        data: chunk_data(attempt, sequence),
    }
}

fn end(attempt: u32, chunks: u64) -> AnswerEnd {
    AnswerEnd {
        attempt: AttemptNumber::new(attempt),
        chunks: ChunkSequence::new(chunks),
    }
}

/// A message in flight from an attempt: a chunk, or the end if `sequence` is `None`.
#[derive(Clone, Copy, Debug)]
struct MessageInFlight {
    attempt: u32,
    sequence: Option<u64>,
}

#[derive(Clone, Debug)]
enum AnswerStep {
    /// Delivers a message in flight; keeps it in flight as a duplicate if the flag is set.
    Deliver(prop::sample::Index, bool),
    Lose(prop::sample::Index),
    Release,
    Stop,
    Resume,
}

fn answer_step() -> impl Strategy<Value = AnswerStep> {
    let message = any::<prop::sample::Index>();
    prop_oneof![
        20 => (message, any::<bool>()).prop_map(|(index, kept)| AnswerStep::Deliver(index, kept)),
        1 => any::<prop::sample::Index>().prop_map(AnswerStep::Lose),
        6 => Just(AnswerStep::Release),
        1 => Just(AnswerStep::Stop),
        2 => Just(AnswerStep::Resume),
    ]
}

struct AnswerSim {
    row: AnswerRow<Vec<u8>>,
    in_flight: Vec<MessageInFlight>,
    released: u64,
    total: u64,
}

impl AnswerSim {
    fn new(total: u64) -> Self {
        let mut sim = Self {
            row: AnswerRow::new().with_buffer_limit(ByteCount::new(100)),
            in_flight: Vec::new(),
            released: 0,
            total,
        };
        sim.send_from(0, 0);
        sim
    }

    fn send_from(&mut self, attempt: u32, first: u64) {
        let sequences = (first..self.total).map(Some).chain([None]);
        let messages = sequences.map(|sequence| MessageInFlight { attempt, sequence });
        self.in_flight.extend(messages);
    }

    fn deliver(&mut self, message: MessageInFlight) {
        let MessageInFlight { attempt, sequence } = message;
        let result = match sequence {
            Some(sequence) => self.row.accept(chunk(attempt, sequence)),
            None => self.row.accept_end(end(attempt, self.total)),
        };
        let is_current = AttemptNumber::new(attempt) == self.row.attempt();
        assert!(is_current || result == Ok(ChunkVerdict::Abandoned));
        let is_released = sequence.is_some_and(|sequence| sequence < self.released);
        assert!(!is_released || result != Ok(ChunkVerdict::Kept));
    }

    fn release(&mut self) {
        while let Some(data) = self.row.release() {
            assert_eq!(data, chunk_data(self.row.attempt(), self.released));
            self.released += 1;
        }
    }

    fn resume(&mut self) {
        let attempt = self.row.start_attempt();
        assert_eq!(self.row.resume_from(), ChunkSequence::new(self.released));
        self.send_from(attempt.get(), self.released);
    }

    fn check(&self) {
        // The limit of 100, and one chunk that is next in order, to which it does not apply.
        assert!(self.row.buffered_bytes().get() <= 120);
        let is_complete = self.row.state() == AnswerState::Complete;
        assert!(
            !is_complete || self.released == self.total,
            "the answer was reported complete too early"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accept_any_order_until_complete(
        total in 0_u64..24,
        steps in prop::collection::vec(answer_step(), 1..120),
    ) {
        let mut sim = AnswerSim::new(total);
        for step in steps {
            match step {
                AnswerStep::Deliver(index, kept) if !sim.in_flight.is_empty() => {
                    let position = index.index(sim.in_flight.len());
                    let message = sim.in_flight[position];
                    if !kept {
                        sim.in_flight.swap_remove(position);
                    }
                    sim.deliver(message);
                }
                AnswerStep::Lose(index) if !sim.in_flight.is_empty() => {
                    sim.in_flight.swap_remove(index.index(sim.in_flight.len()));
                }
                AnswerStep::Deliver(..) | AnswerStep::Lose(_) => {}
                AnswerStep::Release => sim.release(),
                AnswerStep::Stop => {
                    sim.row.stop_attempt(sim.row.attempt(), AnswerError::StreamCut);
                }
                AnswerStep::Resume => sim.resume(),
            }
            sim.check();
        }
        sim.release();
        if sim.row.state() != AnswerState::Complete {
            sim.resume();
            for message in std::mem::take(&mut sim.in_flight) {
                sim.deliver(message);
                sim.release();
            }
        }
        prop_assert_eq!(sim.row.state(), AnswerState::Complete);
        prop_assert_eq!(sim.released, sim.total);
    }
}

#[test]
fn accept_end_contradictions() {
    let mut row = AnswerRow::new();
    row.accept(chunk(0, 3)).expect("buffered after the gap");
    let error = row
        .accept_end(end(0, 2))
        .expect_err("a chunk lies after the end");
    assert!(matches!(error, AnswerError::EndTooEarly { .. }), "{error}");
    assert_eq!(row.state(), AnswerState::Interrupted(error));
    assert_eq!(row.accept(chunk(0, 0)), Ok(ChunkVerdict::Abandoned));

    row.start_attempt();
    row.accept_end(end(1, 2)).expect("first end");
    assert_eq!(row.accept_end(end(1, 2)), Ok(ChunkVerdict::Duplicate));
    let error = row.accept_end(end(1, 4)).expect_err("a second end");
    assert!(
        matches!(error, AnswerError::ConflictingEnds { .. }),
        "{error}"
    );

    row.start_attempt();
    row.accept_end(end(2, 2)).expect("end before the chunks");
    row.accept(chunk(2, 2)).expect_err("a chunk after the end");
    assert_ne!(row.state(), AnswerState::Complete);
}

#[test]
fn accept_duplicate_of_buffered() {
    let mut row = AnswerRow::new();
    row.accept(chunk(0, 1)).expect("buffered");
    let buffered = row.buffered_bytes();
    let mut altered = chunk(0, 1);
    altered.data = b"other".to_vec();
    assert_eq!(row.accept(altered), Ok(ChunkVerdict::Duplicate));
    assert_eq!(row.buffered_bytes(), buffered);
    row.accept(chunk(0, 0)).expect("fills the gap");
    assert!(row.release().is_some());
    assert_eq!(row.release(), Some(chunk(0, 1).data));
}

#[test]
fn start_attempt_forgets_end() {
    let mut row = AnswerRow::new();
    row.accept(chunk(0, 0)).expect("kept");
    assert!(row.release().is_some());
    row.accept_end(end(0, 2)).expect("kept");
    row.stop_attempt(AttemptNumber::new(0), AnswerError::StreamCut);
    row.start_attempt();
    row.accept(chunk(1, 1)).expect("kept");
    assert!(row.release().is_some());
    assert_eq!(
        row.state(),
        AnswerState::Open,
        "the new attempt is longer than the old one"
    );
    row.accept(chunk(1, 2)).expect("kept");
    row.accept_end(end(1, 3)).expect("kept");
    assert!(row.release().is_some());
    assert_eq!(row.state(), AnswerState::Complete);
}

#[test]
fn accept_buffer_limit() {
    let mut row = AnswerRow::new().with_buffer_limit(ByteCount::new(10));
    row.accept(chunk(0, 1)).expect("fits");
    row.accept(chunk(0, 2)).expect("fits");
    let error = row.accept(chunk(0, 3)).expect_err("exceeds the limit");
    assert!(matches!(error, AnswerError::BufferFull { .. }), "{error}");
    assert_eq!(row.buffered_bytes().get(), 0);
    assert_eq!(row.resume_from(), ChunkSequence::new(0));
}

#[test]
fn give_up_visible_unless_complete() {
    let mut row = AnswerRow::new();
    row.accept(chunk(0, 0)).expect("kept");
    row.accept_end(end(0, 1)).expect("kept");
    row.stop_attempt(AttemptNumber::new(0), AnswerError::StreamCut);
    assert_eq!(
        row.state(),
        AnswerState::Interrupted(AnswerError::StreamCut)
    );
    assert!(
        row.release().is_some(),
        "received chunks can still be released"
    );
    row.give_up(AnswerError::DeadlinePassed);
    assert_eq!(row.state(), AnswerState::Complete);

    let mut row = AnswerRow::new();
    row.accept(chunk(0, 0)).expect("kept");
    row.give_up(AnswerError::DeadlinePassed);
    assert_eq!(row.release(), None);
    assert_eq!(
        row.state(),
        AnswerState::Broken(AnswerError::DeadlinePassed)
    );
    row.start_attempt();
    assert_eq!(
        row.state(),
        AnswerState::Broken(AnswerError::DeadlinePassed)
    );
}
