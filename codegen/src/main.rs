//! Generates the message types of `proto/control.proto` in `src/generated/`.
//!
//! Run `cargo run -p flamingofall-codegen` after each change of that file, and commit the result.

use std::path::Path;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let descriptors = protox::compile([root.join("proto/control.proto")], [root.join("proto")])?;
    prost_build::Config::new()
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        // Without the box, `Claim` would be by far the largest variant of the enum `Body`.
        .boxed(".flamingofall.control.Claim.claimant")
        .out_dir(root.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
