//! The committed generated code matches the schema.

use std::path::Path;
use std::process::Command;

#[test]
fn committed_code_is_up_to_date() {
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema");
    let output = Command::new(env!("CARGO_BIN_EXE_schema-gen"))
        .arg(schema.join("schema.json"))
        .output()
        .expect("cannot run schema-gen");
    assert!(
        output.status.success(),
        "schema-gen failed: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    let committed =
        std::fs::read(schema.join("src/generated.rs")).expect("cannot read generated.rs");
    assert!(
        committed == output.stdout,
        "schema/src/generated.rs does not match schema.json; run `cargo run -p schema-gen > schema/src/generated.rs`"
    );
}
