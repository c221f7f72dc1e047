//! Encoded size, memory and apply times of the configuration.

use amaranthgw_core::ChangeNumber;
use amaranthgw_fleet::config::{
    ChangeId, ConfigBase, ConfigChange, ConfigEdit, ServingState, WorkspaceRow, encode_value,
};

use super::worlds::{WorldSize, configuration, parse_id};
use crate::bench::resident::resident_bytes;
use crate::bench::timing::median_us;
use crate::bench::{BenchCell, BenchError, BenchTable, Result};

/// Workspaces and services of the measured configurations.
const SIZES: [WorldSize; 3] = [
    WorldSize::new(0, 10, 2),
    WorldSize::new(0, 400, 23),
    WorldSize::new(0, 3_800, 23),
];
/// Runs of each timed operation; each applies a change of its own.
const REPEATS: u32 = 201;
/// Workspaces of all copies of a configuration together, in the memory measurement.
const MEMORY_WORKSPACES: usize = 40_000;

/// Measures the sizes of the base and of a change, the time to apply a change, and memory.
pub(super) fn measure() -> Result<BenchTable> {
    let mut table = BenchTable::new(
        "Configuration",
        &[
            "workspaces",
            "services",
            "base bytes",
            "change bytes",
            "apply a change us",
            "copy and apply us",
            "memory bytes",
        ],
    );
    for size in SIZES {
        table.push(row(size)?);
    }
    Ok(table)
}

fn row(size: WorldSize) -> Result<Vec<BenchCell>> {
    let (state, _) = configuration(size)?;
    let changes = changes(&state)?;
    let base = ConfigBase {
        state: state.clone(),
        marks: Vec::new(),
    };
    let mut applied = state.clone();
    let apply_us = median_us(REPEATS, |index| apply(&mut applied, &changes, index));
    let mut latest = state.clone();
    let copy_us = median_us(REPEATS, |index| {
        let mut copy = latest.clone();
        apply(&mut copy, &changes, index);
        latest = copy;
    });
    let copies = u32::try_from(MEMORY_WORKSPACES / size.workspaces).unwrap_or(1);
    let memory = resident_bytes(copies, || state.clone());
    let mut cells = [
        size.workspaces,
        size.services,
        encoded_len(&base)?,
        encoded_len(&changes[0])?,
    ]
    .map(BenchCell::count)
    .to_vec();
    cells.extend([apply_us, copy_us, memory].map(BenchCell::Number));
    Ok(cells)
}

fn apply(state: &mut ServingState, changes: &[ConfigChange], index: u32) {
    let change = &changes[usize::try_from(index).unwrap_or(0)];
    // The generated changes are valid and applied in order, so this can't fail.
    state.apply(change).unwrap_or_default();
}

/// Creates consecutive changes that each assign a workspace to another plan.
pub(super) fn changes(state: &ServingState) -> Result<Vec<ConfigChange>> {
    let count = usize::try_from(REPEATS).unwrap_or(0);
    let first = state.number.get() + 1;
    (0..count)
        .zip(first..)
        .map(|(index, number)| change(state, index, ChangeNumber::new(number)))
        .collect()
}

fn change(state: &ServingState, index: usize, number: ChangeNumber) -> Result<ConfigChange> {
    let missing = || BenchError::Malformed {
        value: "the configuration",
    };
    let mut workspaces = state.workspaces.ids();
    let mut plans = state.plans.ids();
    let (workspace, plan) = (index % workspaces.len(), index % plans.len());
    let row = WorkspaceRow {
        plan: plans.nth(plan).ok_or_else(missing)?.clone(),
    };
    let workspace = workspaces.nth(workspace).ok_or_else(missing)?.clone();
    Ok(ConfigChange {
        number,
        id: ChangeId::new(fastrand::u128(..)),
        operator: parse_id("operator-1.example")?,
        made_at_unix_ms: 1_790_000_000_000,
        edits: vec![ConfigEdit::SetWorkspace { workspace, row }],
    })
}

fn encoded_len<T: serde::Serialize>(value: &T) -> Result<usize> {
    Ok(encode_value(value)?.len())
}
