//! Whole answers: chunk sequences, late chunks, resumption.
