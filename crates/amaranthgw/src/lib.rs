//! Decisions of amaranthgw.
