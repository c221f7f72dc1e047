//! Small stand-ins for the platform and the targets, described in `docs/STANDINS.md`.
