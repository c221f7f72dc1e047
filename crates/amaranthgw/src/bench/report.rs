//! Tables with the results of a benchmark.

use compact_str::CompactString;
use serde::Serialize;

use super::{BenchKind, MachineInfo};

/// Value of one table cell.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum BenchCell {
    /// A name or label.
    Text(CompactString),
    /// An integer count.
    Count(u64),
    /// A number, printed with three decimals if it is below 100.
    Number(f64),
}

impl BenchCell {
    /// Creates a cell with a name or label.
    #[must_use]
    pub fn text(name: &str) -> Self {
        Self::Text(name.into())
    }

    /// Creates a cell with a count.
    #[must_use]
    pub fn count(count: usize) -> Self {
        Self::Count(u64::try_from(count).unwrap_or(u64::MAX))
    }
}

impl std::fmt::Display for BenchCell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Count(count) => count.fmt(f),
            Self::Number(number) if number.abs() >= 100.0 => write!(f, "{number:.0}"),
            Self::Number(number) => write!(f, "{number:.3}"),
        }
    }
}

/// Table with named columns, printed as Markdown.
#[derive(Clone, Debug, Serialize)]
pub struct BenchTable {
    /// Title above the table.
    pub title: &'static str,
    /// Column names, with the unit unless the title gives it.
    pub columns: Vec<&'static str>,
    /// Rows with one cell for each column.
    pub rows: Vec<Vec<BenchCell>>,
}

impl BenchTable {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(title: &'static str, columns: &[&'static str]) -> Self {
        Self {
            title,
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Appends a row, which must have a cell for each column.
    pub fn push(&mut self, row: Vec<BenchCell>) {
        self.rows.push(row);
    }
}

impl std::fmt::Display for BenchTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{}\n", self.title)?;
        writeln!(f, "| {} |", self.columns.join(" | "))?;
        writeln!(f, "|{}", " --- |".repeat(self.columns.len()))?;
        for row in &self.rows {
            let cells: Vec<_> = row.iter().map(ToString::to_string).collect();
            writeln!(f, "| {} |", cells.join(" | "))?;
        }
        Ok(())
    }
}

/// Complete result of one benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct BenchReport {
    /// The benchmark.
    pub bench: BenchKind,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Machine that the benchmark ran on.
    pub machine: MachineInfo,
    /// Result tables.
    pub tables: Vec<BenchTable>,
}

const MIB: u64 = 1024 * 1024;

impl std::fmt::Display for BenchReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let MachineInfo {
            cores,
            memory_bytes,
            load_average,
        } = &self.machine;
        let memory = memory_bytes / MIB;
        writeln!(
            f,
            "{}: seed {}, {cores} cores, {memory} MiB of memory, load average {load_average}",
            self.bench, self.seed
        )?;
        for table in &self.tables {
            write!(f, "\n{table}")?;
        }
        Ok(())
    }
}
