mod layers;
mod policies;
mod stragglers;
