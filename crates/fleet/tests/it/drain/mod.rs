mod ends;
mod share;
mod stages;
