//! Validation problems of a document and their positions.

use compact_str::CompactString;

/// Line and column in a file; columns count bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TextPosition {
    /// One-based line.
    pub line: usize,
    /// One-based column, in bytes; 0 if the text ends unexpectedly at the start of a line.
    pub column: usize,
}

/// Step from a JSON value to one of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathPart {
    /// Field of an object.
    Key(CompactString),
    /// Zero-based element of an array.
    Index(usize),
}

/// Path of a field within its document, written like `plans[2].uses[0].rate`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath {
    parts: Vec<PathPart>,
}

impl FieldPath {
    /// Creates the path of the document root.
    #[must_use]
    pub const fn new() -> Self {
        Self { parts: Vec::new() }
    }

    /// Path of the field `key` of this value.
    #[must_use]
    pub fn with_key(&self, key: &str) -> Self {
        self.with_part(PathPart::Key(key.into()))
    }

    /// Path of the element `index` of this value.
    #[must_use]
    pub fn with_index(&self, index: usize) -> Self {
        self.with_part(PathPart::Index(index))
    }

    /// Steps from the document root to the field.
    #[must_use]
    pub fn parts(&self) -> &[PathPart] {
        &self.parts
    }

    fn with_part(&self, part: PathPart) -> Self {
        let mut parts = self.parts.clone();
        parts.push(part);
        Self { parts }
    }
}

impl From<&serde_path_to_error::Path> for FieldPath {
    fn from(path: &serde_path_to_error::Path) -> Self {
        use serde_path_to_error::Segment;
        let part = |segment: &Segment| match segment {
            Segment::Seq { index } => Some(PathPart::Index(*index)),
            Segment::Map { key } => Some(PathPart::Key(key.into())),
            Segment::Enum { .. } | Segment::Unknown => None,
        };
        Self {
            parts: path.iter().filter_map(part).collect(),
        }
    }
}

impl std::fmt::Display for FieldPath {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (position, part) in self.parts.iter().enumerate() {
            match part {
                PathPart::Index(index) => write!(f, "[{index}]")?,
                PathPart::Key(key) if position == 0 => f.write_str(key)?,
                PathPart::Key(key) => write!(f, ".{key}")?,
            }
        }
        Ok(())
    }
}

/// Kind of a validation problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The text is not JSON, repeats a field or violates a rule between fields; contains the
    /// message.
    Message(CompactString),
    /// The field is not known.
    UnknownField,
    /// A required field is missing.
    MissingField,
    /// The value has the wrong type or is out of range; contains the value as JSON,
    /// shortened.
    OutOfRange(CompactString),
    /// An earlier row has the same identifier; contains the identifier and the line of that row.
    Duplicate(CompactString, usize),
    /// The row refers to a plan that doesn't exist; contains the plan and the name of the file with
    /// the plans.
    UnknownPlan(CompactString, CompactString),
}

impl std::fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Message(message) => f.write_str(message),
            Self::UnknownField => f.write_str("unknown field"),
            Self::MissingField => f.write_str("missing field"),
            Self::OutOfRange(value) => write!(f, "invalid value {value}"),
            Self::Duplicate(id, line) => write!(f, "duplicate {id:?}, first used in line {line}"),
            Self::UnknownPlan(id, file) => write!(f, "plan {id:?} is not in {file}"),
        }
    }
}

/// A validation problem of one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldProblem {
    /// Position of the field.
    pub position: TextPosition,
    /// Path of the field; empty if the whole document is invalid.
    pub path: FieldPath,
    /// Kind of the problem.
    pub kind: ProblemKind,
    /// Description of the allowed values, if the field is known.
    pub allowed: Option<CompactString>,
}

/// All validation problems of a rejected document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    file: CompactString,
    problems: Vec<FieldProblem>,
}

impl DocumentError {
    pub(crate) fn new(file: CompactString, mut problems: Vec<FieldProblem>) -> Self {
        problems.sort_by_key(|problem| problem.position);
        problems.dedup();
        Self { file, problems }
    }

    /// Name of the rejected file.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Problems in order of position.
    #[must_use]
    pub fn problems(&self) -> &[FieldProblem] {
        &self.problems
    }
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let TextPosition { line, column } = problem.position;
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}:{line}:{column}: ", self.file)?;
            if !problem.path.parts().is_empty() {
                write!(f, "{}: ", problem.path)?;
            }
            write!(f, "{}", problem.kind)?;
            if let Some(allowed) = &problem.allowed {
                write!(f, "; expected {allowed}")?;
            }
        }
        Ok(())
    }
}

impl std::error::Error for DocumentError {}
