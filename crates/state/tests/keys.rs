//! Guards the text form of keys and the stored salted hashes of keys: a hash matches only its own
//! key, and the secret does not appear in the `Debug` output.

use rstest::rstest;
use state::{KeyRecord, KeyText, OperatorKey};

fn key(secret: u8) -> KeyText {
    KeyText::new("counter-1".parse().expect("valid identifier"), [secret; 32])
}

#[test]
fn a_key_record_matches_only_its_key() {
    let team = "counter".parse().expect("valid identifier");
    let record = KeyRecord::from_key_text(&key(1), team, "salt");
    assert!(record.matches(&key(1)));
    assert!(!record.matches(&key(2)));
}

#[test]
fn a_key_round_trips_through_text_and_hides_its_secret_in_debug() {
    let text = key(7);
    assert_eq!(text.to_plain_text().parse(), Ok(text.clone()));
    assert_eq!(format!("{text:?}"), "KeyText(counter-1)");
}

#[test]
fn an_operator_key_matches_only_its_key() {
    let operator_key: OperatorKey = OperatorKey::from_key_text(&key(3), "salt")
        .to_string()
        .parse()
        .expect("valid operator key");
    assert!(operator_key.matches(&key(3)));
    assert!(!operator_key.matches(&key(4)));
}

#[rstest]
#[case("")]
#[case("pf.a")]
#[case("pf..00")]
#[case("pf.a.zz")]
#[case("xx.a.0000000000000000000000000000000000000000000000000000000000000000")]
#[case("pf.a.é00000000000000000000000000000000000000000000000000000000000000")]
fn invalid_key_texts_are_rejected(#[case] text: &str) {
    assert!(text.parse::<KeyText>().is_err());
}
