//! Why the two lists are refused.

use crate::settings::DocumentError;

/// The two lists are refused as a whole; holds one error for each refused file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    files: Vec<DocumentError>,
}

impl ListError {
    pub(super) const fn new(files: Vec<DocumentError>) -> Self {
        Self { files }
    }

    /// The refused files with their problems.
    #[must_use]
    pub fn files(&self) -> &[DocumentError] {
        &self.files
    }
}

impl std::fmt::Display for ListError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, file) in self.files.iter().enumerate() {
            let end = if index == 0 { "" } else { "\n" };
            write!(f, "{end}{file}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ListError {}
