//! Compares the published schema with the code.

use latchhaven_operator_config::schema;

#[test]
fn published_schema_matches_the_code() {
    let published = include_str!("../../../docs/control-schema.json");
    assert_eq!(format!("{:#}\n", schema()), published);
}
