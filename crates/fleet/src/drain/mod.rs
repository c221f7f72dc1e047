//! Leaving and returning VMs and failure domains.
