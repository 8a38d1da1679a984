//! Writes the wire types of `proto/control.proto` to `src/generated/`.
//!
//! Run it as `cargo run -p flamingofall-codegen` after a change of the file, and commit the result.

use std::path::Path;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let descriptors = protox::compile([root.join("proto/control.proto")], [root.join("proto")])?;
    prost_build::Config::new()
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        // The largest message otherwise, by far.
        .boxed(".flamingofall.control.Claim.claimant")
        .out_dir(root.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
