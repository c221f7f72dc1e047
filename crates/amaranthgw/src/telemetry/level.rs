//! Levels of log events.

/// Log level of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLevel {
    /// Detail about a single request; kept in the journal only, unless debug logs are on.
    Debug,
    /// Normal operation.
    Info,
    /// Something that an operator may have to investigate.
    Warning,
    /// A service guarantee is at risk or the process cannot continue.
    Error,
}
