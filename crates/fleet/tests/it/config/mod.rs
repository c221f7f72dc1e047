mod commit;
mod fixtures;
mod follower;
mod relay;
mod spread;
mod state;
