//! Expected run times learned from measured ones.

use std::fmt::Write;

use policy::{RunTimeRecord, RunTimeTable, ShapeKey};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::{Mebibytes, Millicores, Millis, Moment, QueueId};

fn queue(name: &str) -> QueueId {
    name.parse().expect("valid name")
}

fn shape(queue: &QueueId) -> ShapeKey<'_> {
    ShapeKey { queue, processor: Millicores(1_000), memory: Mebibytes(512) }
}

/// Draws a true run time around `typical` with the given relative spread, and a declared time with the
/// given relative error.
fn draw_times(rng: &mut StdRng, typical: f64, spread: f64, error: f64) -> (Millis, Millis) {
    let truth = typical * rng.random_range(1.0 - spread..=1.0 + spread);
    let declared = truth * rng.random_range(1.0 - error..=1.0 + error);
    (Millis(declared.max(1.0) as u64), Millis(truth.max(1.0) as u64))
}

/// Records `count` runs, of which 3 % are stragglers.
fn train(rng: &mut StdRng, table: &mut RunTimeTable, queue: &QueueId, count: u64, error: f64) {
    for number in 0..count {
        let (declared, truth) = draw_times(rng, 2_000.0, 0.5, error);
        let is_straggler = rng.random_bool(0.03);
        let measured = if is_straggler { Millis(truth.0 * 7) } else { truth };
        table.record(&shape(queue), declared, measured, Moment(number * 100));
    }
}

/// Mean factor by which estimates differ from the truth, in percent above 1.
fn mean_error_percent(pairs: &[(Millis, Millis)]) -> u64 {
    let factor = |(estimate, truth): &(Millis, Millis)| {
        (estimate.0.max(1) as f64 / truth.0 as f64).log2().abs()
    };
    let mean = pairs.iter().map(factor).sum::<f64>() / pairs.len() as f64;
    ((mean.exp2() - 1.0) * 100.0).round() as u64
}

/// Guards against expected times that are worse than the declared ones, or hardly better although the
/// declared ones are far off.
#[test]
fn expected_times_are_closer_than_declared_ones() {
    let queue = queue("queue-0");
    let mut text = String::new();
    for error in [0.0, 0.2, 0.5, 0.9] {
        for count in [0, 10, 50, 500] {
            let mut rng = StdRng::seed_from_u64(7);
            let mut table = RunTimeTable::default();
            train(&mut rng, &mut table, &queue, count, error);
            let now = Moment(count * 100);
            let mut declared_pairs = Vec::new();
            let mut expected_pairs = Vec::new();
            for _ in 0..2_000 {
                let (declared, truth) = draw_times(&mut rng, 2_000.0, 0.5, error);
                declared_pairs.push((declared, truth));
                expected_pairs.push((table.expected(&shape(&queue), declared, now), truth));
            }
            let declared = mean_error_percent(&declared_pairs);
            let expected = mean_error_percent(&expected_pairs);
            let _ = writeln!(
                text,
                "error {error}, {count:3} samples: declared off by {declared:3} %, expected by \
                 {expected:3} %"
            );
        }
    }
    insta::assert_snapshot!(text);
}

/// Guards against a queue of short and long steps whose expected times meet in the middle.
#[test]
fn short_and_long_steps_of_a_queue_stay_apart() {
    let queue = queue("queue-0");
    let mut rng = StdRng::seed_from_u64(3);
    let mut table = RunTimeTable::default();
    for number in 0..400 {
        let typical = if number % 2 == 0 { 300.0 } else { 20_000.0 };
        let (declared, truth) = draw_times(&mut rng, typical, 0.5, 0.5);
        table.record(&shape(&queue), declared, truth, Moment(number * 100));
    }
    let expected = |declared| table.expected(&shape(&queue), Millis(declared), Moment(40_000)).0;
    assert!((200..500).contains(&expected(300)), "{}", expected(300));
    assert!((13_000..30_000).contains(&expected(20_000)), "{}", expected(20_000));
    // No run had such a declared time: the queue's ratio applies, which is about 1.
    assert!((3_000..15_000).contains(&expected(6_000)), "{}", expected(6_000));
}

/// Guards against a result that depends on a few runs: stragglers, or runs of one job with a wrong
/// declared time.
#[rstest]
#[case::stragglers(10_500, 3)]
#[case::absurdly_long(u64::MAX, 6)]
#[case::absurdly_short(0, 6)]
fn outliers_do_not_move_the_result(#[case] measured: u64, #[case] outliers: u64) {
    let queue = queue("queue-0");
    let mut table = RunTimeTable::default();
    for number in 0..31 - outliers {
        table.record(&shape(&queue), Millis(1_500), Millis(1_500), Moment(number));
    }
    let before = table.expected(&shape(&queue), Millis(1_500), Moment(100));
    for number in 0..outliers {
        table.record(&shape(&queue), Millis(1_500), Millis(measured), Moment(50 + number));
    }
    assert_eq!(table.expected(&shape(&queue), Millis(1_500), Moment(100)), before);
}

/// Guards against samples that all are wrong and make the expected time useless: it stays within a
/// factor of 32 of the declared one.
#[rstest]
fn wrong_samples_have_a_limited_effect(
    #[values(0, 1, 1_000, 86_400_000 * 30, u64::MAX)] declared: u64,
    #[values(0, 1, 1_000, 86_400_000 * 30, u64::MAX)] measured: u64,
) {
    let queue = queue("queue-0");
    let mut table = RunTimeTable::default();
    for number in 0..40 {
        table.record(&shape(&queue), Millis(declared), Millis(measured), Moment(number));
    }
    for asked in [0, 1, 500, 1_000, 60_000, 86_400_000 * 30, u64::MAX] {
        let expected = table.expected(&shape(&queue), Millis(asked), Moment(50)).0;
        let bounded = asked.min(u64::from(u32::MAX));
        let longest = bounded.max(1_000).saturating_mul(33);
        assert!(expected <= longest, "{expected} for {asked}");
        assert!(expected >= bounded / 33, "{expected} for {asked}");
    }
}

/// Guards against memory and a record that grow with the number of queues and shapes, and against the
/// loss of recent knowledge in favour of old.
#[test]
fn memory_and_record_are_bounded() {
    let mut table = RunTimeTable::default();
    let long_name = |number: u64| queue(&format!("{}-{number:05}", "q".repeat(58)));
    let mut at = 0;
    for number in 0..1_000 {
        for _ in 0..6 {
            at += 1;
            let name = long_name(number);
            table.record(&shape(&name), Millis(1 << (number % 30)), Millis(900), Moment(at));
        }
    }
    let newest = long_name(999);
    assert!(table.correction(&newest, Moment(at)).is_some());
    assert!(table.correction(&long_name(0), Moment(at)).is_none());
    let record = table.to_record(Moment(at), 40);
    let bytes = serde_json::to_vec(&record).expect("a record");
    assert!(bytes.len() <= 8_192, "{} bytes", bytes.len());
}

/// Guards against a new owner that starts from nothing, or trusts the record of an earlier load for
/// long.
#[test]
fn record_restores_what_was_learned_until_new_samples_differ() {
    let queue = queue("queue-0");
    let mut table = RunTimeTable::default();
    for number in 0..40 {
        table.record(&shape(&queue), Millis(1_500), Millis(3_000), Moment(number));
    }
    let record = table.to_record(Moment(1_000), 100);
    let bytes = serde_json::to_vec(&record).expect("a record");
    let record: RunTimeRecord = serde_json::from_slice(&bytes).expect("a record");
    let mut next = RunTimeTable::default();
    let now = Moment(7);
    next.add_record(&record, Millis(3_000), now);
    assert_eq!(next.expected(&shape(&queue), Millis(1_500), now), Millis(3_000));
    for number in 0..8 {
        next.record(&shape(&queue), Millis(1_500), Millis(800), Moment(10 + number));
    }
    let expected = next.expected(&shape(&queue), Millis(1_500), Moment(20));
    assert!(expected < Millis(900), "{expected}");
}

/// Guards against a record of another version, or a damaged one, that stops the owner.
#[rstest]
#[case::empty("{}")]
#[case::unknown_fields(r#"{"written_ms":5,"later":1,"queues":{"q":[{"x":9,"y":9,"n":9,"z":1}]}}"#)]
#[case::out_of_range(
    r#"{"queues":{"q":[{"c":255,"d":[255,255],"x":2147483647,"y":-2147483648,"n":999999,
    "s":18446744073709551615}],"not a name":[{}]}}"#
)]
fn unusual_records_do_no_harm(#[case] text: &str) {
    let record: RunTimeRecord = serde_json::from_str(text).expect("a record");
    let mut table = RunTimeTable::default();
    table.add_record(&record, Millis(u64::MAX), Moment(5));
    let queue = queue("q");
    assert_eq!(table.expected(&shape(&queue), Millis(700), Moment(6)), Millis(700));
}

/// Guards against samples of an earlier load that count for ever.
#[test]
fn old_samples_age_out() {
    let queue = queue("queue-0");
    let mut table = RunTimeTable::default();
    for number in 0..40 {
        table.record(&shape(&queue), Millis(1_500), Millis(3_000), Moment(number));
    }
    let later = Moment(3_600_000);
    assert_eq!(table.expected(&shape(&queue), Millis(1_500), later), Millis(1_500));
    for number in 0..6 {
        table.record(&shape(&queue), Millis(1_500), Millis(700), Moment(later.0 + number));
    }
    let expected = table.expected(&shape(&queue), Millis(1_500), Moment(later.0 + 10));
    assert!(expected < Millis(710), "{expected}");
}
