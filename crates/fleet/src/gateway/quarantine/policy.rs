//! What crashes convict.

use super::crash::CrashRow;
use super::verdict::RefusedParts;

/// Derives verdicts from crashes.
pub(super) trait ConvictionPolicy: std::fmt::Debug + Send {
    /// The parts that `crashes` convict.
    fn convict(&self, crashes: &[CrashRow]) -> Vec<RefusedParts>;
}
