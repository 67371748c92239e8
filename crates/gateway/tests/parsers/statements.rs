//! The parser for supported statements and the comments with their parameters.

use bytes::Bytes;
use latchhaven_gateway::proto::pg::{self, Statement, StatementError};
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

fn parse(text: &str) -> Result<Statement, StatementError> {
    Statement::parse(Bytes::copy_from_slice(text.as_bytes()))
}

/// The bytes that an endpoint receives.
fn forwarded(statement: &Statement, timeout: f64) -> Vec<u8> {
    pg::encode::forwarded_query(statement, timeout).flatten().flatten().collect()
}

/// A reservation that counts how often it was dropped.
struct CountedDrop(Arc<AtomicUsize>);

impl Drop for CountedDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, SeqCst);
    }
}

/// Endpoints get the value as the client wrote it, though the statement is stored in less memory; the memory counts as
/// reserved until the statement is no longer stored.
#[rstest]
#[case::lower_case("9f03", 65_536, true)]
#[case::upper_case("9F03AB", 8193, true)]
#[case::digits_only("1234", 8192, true)]
#[case::both_cases("9f0A", 65_536, false)]
#[case::empty("", 0, false)]
fn packed_statement_is_forwarded_unchanged(
    #[case] digits: &str, #[case] value_bytes: usize, #[case] is_smaller: bool,
) {
    let digits: String = digits.chars().cycle().take(2 * value_bytes).collect();
    let comment = "/* k=5c,d=480,c=basket,id=4a */";
    let text = format!(r"INSERT INTO items (id, doc) VALUES ('7f3a', '\x{digits}') RETURNING doc {comment}");
    let statement = parse(&text).unwrap();
    let (mut stored_bytes, dropped) = (0, Arc::new(AtomicUsize::new(0)));
    let packed = statement.clone().pack(|bytes| {
        stored_bytes = bytes;
        CountedDrop(dropped.clone())
    });
    assert_eq!(is_smaller, stored_bytes < text.len() - value_bytes / 2);
    assert_eq!((&packed.id[..], &packed.class), (&b"4a"[..], &statement.class));
    let query = pg::encode::forwarded_query(&packed, 71.9);
    assert_eq!(forwarded(&packed, 71.9), pg::encode::query(&text.replace("d=480", "d=71")));
    drop(packed);
    assert_eq!(dropped.load(SeqCst), 0, "the query is not written yet");
    drop(query);
    assert_eq!(dropped.load(SeqCst), 1);
}

#[rstest]
#[case::select("SELECT doc FROM items WHERE id = '7f3a' /* id=9b1f,c=basket,t=acme,d=480 */", false)]
#[case::insert(
    r"INSERT INTO items (id, doc) VALUES ('7f3a', '\x9f03') RETURNING doc /* k=5c,d=480,r=1,h=2500,c=basket,id=4 */",
    true
)]
#[case::in_another_order("SELECT doc FROM items WHERE id = '7f3a' /* c=basket,d=480,t=acme,id=1 */", false)]
fn statement_has_the_parameters_of_its_comment(#[case] text: &'static str, #[case] is_write: bool) {
    let statement = Statement::parse(Bytes::from_static(text.as_bytes())).unwrap();
    assert_eq!(
        (statement.class.as_str(), statement.timeout, statement.item.as_deref()),
        ("basket", 480.0, Some("7f3a"))
    );
    assert_eq!(&text[statement.timeout_digits.clone()], "480");
    assert_eq!(
        (statement.is_write, statement.is_retry, statement.expected_work),
        (is_write, is_write, is_write.then_some(2.5))
    );
    assert_eq!(statement.tenant.as_deref(), (!is_write).then_some("acme"));
    let sent = forwarded(&statement, 71.9);
    let expected = text.replace("d=480", "d=71");
    assert_eq!(sent, pg::encode::query(&expected));
}

#[test]
fn statement_truncated_or_altered_is_rejected() {
    let statement = "SELECT doc FROM items WHERE id = '7f' /* id=1,c=a,d=9 */";
    for cut in 0..statement.len() {
        assert!(parse(&statement[..cut]).is_err(), "{}", &statement[..cut]);
    }
    assert!(parse(statement).is_ok());
    assert!(parse(&format!("{statement} ")).is_err());
    assert!(parse(&statement.to_lowercase()).is_err());
}

#[test]
fn statement_with_a_malformed_comment_is_rejected() {
    for comment in [
        "",
        "id=1,c=a",
        "id=1,d=9",
        "c=a,d=9",
        "id=,c=a,d=9",
        "id=1,c=a,d=x",
        "id=1,c=a,d=-9",
        "id=1,c=a,d=0",
        "id=1,c=a,d=9.5",
        "id=1,c=a,d=99999999999",
        "id=1,c=a,d=9,d=9",
        "id=1,c=a,d=9,x=1",
        "id=1,c=a,d=9,",
        "id=1,c=a,d=9,r=2",
        "id=1,c=a,d=9,h=-1",
        "id=1,c=a,d=9,h=nan",
        "id=1,c=a,d=9,t=a b",
        "id=1,c=a,d=9,t=*/",
        "id=1 ,c=a,d=9",
        "id=1,c=a,d=9,k=\u{e9}",
    ] {
        let text = format!("SELECT doc FROM items WHERE id = '7f' /* {comment} */");
        assert!(parse(&text).is_err(), "{text}");
    }
}

#[test]
fn insert_with_a_value_that_is_not_hex_or_too_long_is_rejected() {
    let insert = |value: &str| {
        parse(&format!(
            r"INSERT INTO items (id, doc) VALUES ('7f', '{value}') RETURNING doc /* id=1,c=a,d=9 */"
        ))
    };
    assert!(insert(r"\x").is_ok() && insert(&format!(r"\x{}", "0a".repeat(65536))).is_ok());
    for value in ["", "9f", r"\x9", r"\x9g", r"\x9f', '\x9f", &format!(r"\x{}", "0a".repeat(65537))] {
        assert!(insert(value).is_err(), "{}", &value[..value.len().min(20)]);
    }
}
