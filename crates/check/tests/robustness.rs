//! Guards against input that ends the check: no bytes may cause a panic, an overflow of the stack,
//! or work that grows faster than the file. A quadratic step on the largest files takes minutes, so
//! it shows without a check on times.

mod common;

use check::{CheckInput, FileKind, InputFile, run_check};
use common::{file, input};
use proptest::prelude::*;
use rstest::rstest;
use state::Millis;

const MEGABYTE: usize = 1 << 20;

const KINDS: [FileKind; 7] = [
    FileKind::Plans,
    FileKind::Grants,
    FileKind::Config,
    FileKind::Settings,
    FileKind::Job,
    FileKind::PlatformConfig,
    FileKind::Wave,
];

/// Valid texts, of which the properties change single bytes and numbers.
const VALID_TEXTS: [&str; 6] = [
    include_str!("../../../examples/borvarrat/plans.jsonc"),
    include_str!("../../../examples/borvarrat/grants.jsonc"),
    include_str!("../../../examples/job.jsonc"),
    include_str!("../../../examples/pollenfalld.jsonc"),
    include_str!("../../../examples/platform/config.json"),
    include_str!("../../../examples/platform/wave.json"),
];

/// Checks bytes as each kind of file, as the version in force and as the list of VMs.
fn check_everywhere(bytes: &[u8]) {
    let given: InputFile = file("given", bytes);
    for kind in KINDS.map(Some).into_iter().chain([None]) {
        run_check(&CheckInput {
            files: vec![given.clone(), given.clone()],
            kind,
            against: vec![given.clone()],
            in_force: None,
            vms: Some(given.clone()),
            maintenance: Millis(u64::MAX),
        });
    }
}

fn number_text() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<u64>().prop_map(|number| number.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        Just("0".to_owned()),
        Just("1e999".to_owned()),
        Just("null".to_owned()),
        Just("[]".to_owned()),
        Just("\"\"".to_owned()),
    ]
}

/// Replaces the number that begins at or after `start`, if there is one.
fn replace_number(text: &str, start: usize, number: &str) -> String {
    let is_digit = |byte: &u8| byte.is_ascii_digit() || *byte == b'.';
    let bytes = text.as_bytes();
    let begin = (start..bytes.len()).find(|index| bytes[*index].is_ascii_digit());
    let Some(begin) = begin else { return text.to_owned() };
    let length = bytes[begin..].iter().take_while(|byte| is_digit(byte)).count();
    format!("{}{number}{}", &text[..begin], &text[begin + length..])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_checked(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        check_everywhere(&bytes);
    }

    #[test]
    fn any_json_like_text_is_checked(text in "[{}\\[\\]:,\"'/*\\\\ntea0-9.e+-]{0,80}") {
        check_everywhere(text.as_bytes());
    }

    #[test]
    fn a_changed_byte_is_checked(valid in 0..VALID_TEXTS.len(), at in 0usize..4_000, byte: u8) {
        let mut bytes = VALID_TEXTS[valid].as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        check_everywhere(&bytes);
    }

    #[test]
    fn a_changed_number_is_checked(valid in 0..VALID_TEXTS.len(), at in 0usize..4_000,
                                   number in number_text()) {
        let text = VALID_TEXTS[valid];
        let at = (at % text.len()..=text.len()).find(|at| text.is_char_boundary(*at));
        check_everywhere(replace_number(text, at.unwrap_or(0), &number).as_bytes());
    }

    #[test]
    fn a_cut_file_is_checked(valid in 0..VALID_TEXTS.len(), at in 0usize..4_000) {
        let text = VALID_TEXTS[valid].as_bytes();
        check_everywhere(&text[..at % text.len()]);
    }
}

/// Repeats numbered rows until the text has a megabyte.
fn megabyte_of(begin: &str, row: impl Fn(usize) -> String, end: &str) -> String {
    let mut text = begin.to_owned();
    let mut index = 0;
    while text.len() < MEGABYTE {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&row(index));
        index += 1;
    }
    text + end
}

fn valid_rows(kind: FileKind) -> String {
    match kind {
        FileKind::Plans => megabyte_of(
            "{\"teams\":{",
            |index| format!("\"t{index}\":{{\"plan\":\"p\",\"share\":1,\"limit\":0}}"),
            "}}",
        ),
        FileKind::Grants => megabyte_of(
            "{\"plans\":{},\"pools\":{",
            |index| format!("\"p{index}\":{{\"min_available\":1}}"),
            "}}",
        ),
        FileKind::Job => megabyte_of("{\"payload\":\"\",\"steps\":[", |_| "{}".to_owned(), "]}"),
        FileKind::Settings => megabyte_of("{", |index| format!("\"daemon{index}\":1"), "}"),
        FileKind::Config => megabyte_of(
            "{\"plans\":{},\"pools\":{},\"keys\":{},\"out_data_centres\":[],\"out_pools\":[],\"changes\":[],\"teams\":{",
            |index| format!("\"t{index}\":{{\"plan\":\"p\",\"share\":1,\"limit\":0}}"),
            "}}",
        ),
        FileKind::PlatformConfig | FileKind::Wave => unreachable!("tested in `platform`"),
    }
}

#[rstest]
fn a_megabyte_of_rows_is_checked(
    #[values(
        FileKind::Plans,
        FileKind::Grants,
        FileKind::Config,
        FileKind::Settings,
        FileKind::Job
    )]
    kind: FileKind,
) {
    let text = valid_rows(kind);
    let given = file("given", text);
    let report = run_check(&CheckInput {
        files: vec![given.clone()],
        kind: Some(kind),
        against: vec![given],
        ..CheckInput::default()
    });
    assert!(!report.findings.is_empty());
}

#[rstest]
#[case::unknown_fields("{\"steps\":[", "{\"a\":1}", "]}")]
#[case::repeated_fields("{\"steps\":1", ",\"a\":1", "}")]
#[case::comment("", "//////", "{}")]
#[case::lists("", "[", "")]
#[case::objects("", "{\"a\":", "")]
#[case::brackets_in_a_string("{\"payload\":\"", "[", "\",\"steps\":[]}")]
#[case::letters("{\"payload\":\"", "é", "\",\"steps\":[{\"é\":1}]}")]
#[case::zero_bytes("", "\0", "")]
fn a_megabyte_of_one_piece_is_checked(#[case] begin: &str, #[case] piece: &str, #[case] end: &str) {
    let text = format!("{begin}{}{end}", piece.repeat(MEGABYTE / piece.len()));
    assert!(!run_check(&input(&[("given", &text)])).findings.is_empty());
}

/// Guards against unknown fields that are each searched for in the whole object.
#[test]
fn a_megabyte_of_unknown_fields_is_checked() {
    let text = megabyte_of(
        "{\"payload\":\"\",\"steps\":[{\"tasks\":1}],",
        |index| format!("\"f{index}\":1"),
        "}",
    );
    assert!(!run_check(&input(&[("given", &text)])).findings.is_empty());
}

/// Guards against a value that the parser accepts and that overflows the stack in a later step. The
/// parser counts an object as two levels.
#[rstest]
#[case("[", "]", 505)]
#[case("{\"a\":", "}", 252)]
fn the_deepest_nesting_is_checked(#[case] open: &str, #[case] close: &str, #[case] levels: usize) {
    let value = format!("{}1{}", open.repeat(levels), close.repeat(levels));
    assert!(state::parse_value(&value).is_ok());
    check_everywhere(value.as_bytes());
    for begin in ["\"payload\":\"\",\"steps\":[],\"x\":", "\"teams\":"] {
        check_everywhere(format!("{{{begin}{value}}}").as_bytes());
    }
}
