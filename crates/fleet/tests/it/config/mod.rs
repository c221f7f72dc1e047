mod commit;
mod fixtures;
mod relay;
mod spread;
mod state;
