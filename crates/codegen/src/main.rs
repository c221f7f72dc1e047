//! Generates `wire/node.rs` of amaranthgw from `node.proto`. The result is committed.

use eyre::WrapErr;

const PROTO_FILE: &str = "node.proto";
const PROTO_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../amaranthgw/proto");
/// File that the generator names after the protobuf package; renamed to `node.rs`.
const PACKAGE_FILE: &str = "amaranthgw.node.v1.rs";
const OUT_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../amaranthgw/src/wire");

fn main() -> eyre::Result<()> {
    let files =
        protox::compile([PROTO_FILE], [PROTO_DIR]).wrap_err("cannot compile the proto file")?;
    tonic_prost_build::configure()
        .out_dir(OUT_DIR)
        .bytes(".")
        .compile_fds(files)
        .wrap_err("cannot generate the message code")?;
    std::fs::rename(
        format!("{OUT_DIR}/{PACKAGE_FILE}"),
        format!("{OUT_DIR}/node.rs"),
    )
    .wrap_err("cannot rename the generated file to node.rs")
}
