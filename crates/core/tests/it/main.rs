//! Tests of the value types, tables and the tick.

mod parse;
mod tick;
