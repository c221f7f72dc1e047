//! Error of parsing the operators' lists.

use crate::settings::DocumentError;

/// Validation errors of the operators' lists, one for each invalid file. If either file is invalid,
/// both are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    files: Vec<DocumentError>,
}

impl ListError {
    pub(super) const fn new(files: Vec<DocumentError>) -> Self {
        Self { files }
    }

    /// Errors of the invalid files.
    #[must_use]
    pub fn files(&self) -> &[DocumentError] {
        &self.files
    }
}

impl std::fmt::Display for ListError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, file) in self.files.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{file}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ListError {}
