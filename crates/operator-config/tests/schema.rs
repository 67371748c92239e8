//! The published schema.

use latchhaven_operator_config::schema;

#[test]
fn published_schema_is_that_of_the_code() {
    let published = include_str!("../../../docs/control-schema.json");
    assert_eq!(format!("{:#}\n", schema()), published);
}
