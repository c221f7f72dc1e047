//! Tests of gateways between test callers and stand-ins of the platform.

mod answers;
mod descriptors;
mod env;
mod groups;
mod knowledge;
mod stops;
mod streams;
