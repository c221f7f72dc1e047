//! What is wrong with a document, and where.

use compact_str::CompactString;

/// Line and column in a file, both counted from 1; columns count bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TextPosition {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// One step from a value to a value within it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathPart {
    /// A field of an object.
    Key(CompactString),
    /// An element of an array, counted from 0.
    Index(usize),
}

/// Where a field is within its document, written like `plans[2].uses[0].rate`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath {
    parts: Vec<PathPart>,
}

impl FieldPath {
    /// Creates the path of the document itself.
    #[must_use]
    pub const fn new() -> Self {
        Self { parts: Vec::new() }
    }

    /// The path of the field `key` within this one.
    #[must_use]
    pub fn with_key(&self, key: &str) -> Self {
        self.with_part(PathPart::Key(key.into()))
    }

    /// The path of the element `index` within this one.
    #[must_use]
    pub fn with_index(&self, index: usize) -> Self {
        self.with_part(PathPart::Index(index))
    }

    /// The steps from the document to the field.
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

/// Why a field is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The text is not JSON, or not of the documented shape; holds the parser's message.
    Shape(CompactString),
    /// The document has no such field.
    UnknownField,
    /// The field must be given.
    MissingField,
    /// The value is not in the allowed range; holds the value as written.
    OutOfRange(CompactString),
    /// An earlier row has the same identifier; holds the identifier and the line of that row.
    Duplicate(CompactString, usize),
    /// The row names a plan that is in no row of the file with the plans.
    UnknownPlan(CompactString, CompactString),
}

impl std::fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Shape(message) => f.write_str(message),
            Self::UnknownField => f.write_str("there is no such field"),
            Self::MissingField => f.write_str("the field is missing"),
            Self::OutOfRange(value) => write!(f, "{value} is not allowed"),
            Self::Duplicate(id, line) => write!(f, "{id:?} is already in line {line}"),
            Self::UnknownPlan(id, file) => write!(f, "plan {id:?} is not in {file}"),
        }
    }
}

/// One problem of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldProblem {
    /// Where the problem is.
    pub position: TextPosition,
    /// The field it concerns.
    pub path: FieldPath,
    /// What is wrong.
    pub kind: ProblemKind,
    /// What the field allows, where the field is known.
    pub allowed: Option<CompactString>,
}

/// A document that is refused as a whole, with every problem that was found.
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

    /// The file that is refused.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Its problems in order of position.
    #[must_use]
    pub fn problems(&self) -> &[FieldProblem] {
        &self.problems
    }
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let TextPosition { line, column } = problem.position;
            let end = if index == 0 { "" } else { "\n" };
            write!(f, "{end}{}:{line}:{column}: ", self.file)?;
            if !problem.path.parts().is_empty() {
                write!(f, "{}: ", problem.path)?;
            }
            write!(f, "{}", problem.kind)?;
            if let Some(allowed) = &problem.allowed {
                write!(f, "; allowed is {allowed}")?;
            }
        }
        Ok(())
    }
}

impl std::error::Error for DocumentError {}
