//! Size and times of the configuration.

use amaranthgw_core::ChangeNumber;
use amaranthgw_fleet::config::{
    ChangeId, ConfigBase, ConfigChange, ConfigEdit, ServingState, WorkspaceRow, encode_value,
};

use super::worlds::{WorldSize, configured, parsed};
use crate::bench::resident::resident_bytes;
use crate::bench::timing::median_us;
use crate::bench::{BenchCell, BenchError, BenchTable, Result};

/// Workspaces and services of the measured configurations.
const SIZES: [WorldSize; 3] = [
    WorldSize::new(0, 10, 2),
    WorldSize::new(0, 400, 23),
    WorldSize::new(0, 3_800, 23),
];
const REPEATS: u32 = 201;
/// Workspaces over all copies of a measured configuration.
const MEMORY_WORKSPACES: usize = 40_000;

/// Sizes of values and changes, and the time to apply a change.
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
    let (state, _) = configured(size)?;
    let changes = changes(&state)?;
    let base = ConfigBase {
        state: state.clone(),
        marks: Vec::new(),
    };
    let mut applied = state.clone();
    let apply_us = median_us(REPEATS, |turn| apply(&mut applied, &changes, turn));
    let mut latest = state.clone();
    let copy_us = median_us(REPEATS, |turn| {
        let mut copy = latest.clone();
        apply(&mut copy, &changes, turn);
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

fn apply(state: &mut ServingState, changes: &[ConfigChange], turn: u32) {
    let change = &changes[usize::try_from(turn).unwrap_or(0)];
    // Changes are applied in their order, which is the only thing that could be wrong with them.
    state.apply(change).unwrap_or_default();
}

/// Changes in order that each move a workspace to another plan.
pub(super) fn changes(state: &ServingState) -> Result<Vec<ConfigChange>> {
    let count = usize::try_from(REPEATS).unwrap_or(0);
    let first = state.number.get() + 1;
    (0..count)
        .zip(first..)
        .map(|(turn, number)| change(state, turn, ChangeNumber::new(number)))
        .collect()
}

fn change(state: &ServingState, turn: usize, number: ChangeNumber) -> Result<ConfigChange> {
    let missing = || BenchError::Malformed {
        value: "the configuration",
    };
    let mut workspaces = state.workspaces.ids();
    let mut plans = state.plans.ids();
    let (workspace, plan) = (turn % workspaces.len(), turn % plans.len());
    let row = WorkspaceRow {
        plan: plans.nth(plan).ok_or_else(missing)?.clone(),
    };
    let workspace = workspaces.nth(workspace).ok_or_else(missing)?.clone();
    Ok(ConfigChange {
        number,
        id: ChangeId::new(fastrand::u128(..)),
        operator: parsed("operator-1.example")?,
        made_at_unix_ms: 1_790_000_000_000,
        edits: vec![ConfigEdit::SetWorkspace { workspace, row }],
    })
}

fn encoded_len<T: serde::Serialize>(value: &T) -> Result<usize> {
    Ok(encode_value(value)?.len())
}
