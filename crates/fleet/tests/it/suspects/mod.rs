mod isolation;
mod merge;
mod spread;
