//! Keys: their text, and what is kept of them.

use rstest::rstest;
use state::{KeyRecord, KeyText, OperatorKey};

fn key(secret: u8) -> KeyText {
    KeyText::new("counter-1".parse().expect("an id"), [secret; 32])
}

#[test]
fn a_key_matches_its_own_record_only() {
    let team = "counter".parse().expect("an id");
    let record = KeyRecord::seal(&key(1), team, "salt");
    assert!(record.matches(&key(1)));
    assert!(!record.matches(&key(2)));
}

#[test]
fn a_key_survives_its_text_and_hides_in_debug() {
    let text = key(7);
    assert_eq!(text.reveal().parse(), Ok(text.clone()));
    assert_eq!(format!("{text:?}"), "KeyText(counter-1)");
}

#[test]
fn the_operators_key_is_kept_as_a_hash() {
    let sealed: OperatorKey =
        OperatorKey::seal(&key(3), "salt").to_string().parse().expect("a hash");
    assert!(sealed.matches(&key(3)));
    assert!(!sealed.matches(&key(4)));
}

#[rstest]
#[case("")]
#[case("pf.a")]
#[case("pf..00")]
#[case("pf.a.zz")]
#[case("xx.a.0000000000000000000000000000000000000000000000000000000000000000")]
#[case("pf.a.é00000000000000000000000000000000000000000000000000000000000000")]
fn other_texts_are_no_keys(#[case] text: &str) {
    assert!(text.parse::<KeyText>().is_err());
}
