//! Forecasts of bursts. Each snapshot shows, for each burst of a load, what was expected a second
//! before the burst began.

use std::fmt::Write as _;

use policy::{TurnForecast, TurnRecord};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::{Millis, Rate};

/// Wall-clock time at which each load begins, in milliseconds since 1970.
const LOAD_START_MS: u64 = 1_765_000_000_000;
/// Time before a burst at which the forecast is asked, in milliseconds.
const LEAD_MS: u64 = 1_000;

/// Jobs that arrive during a burst of a load, and between two bursts.
#[derive(Debug, Clone, Copy)]
struct Load {
    jobs_per_s: f64,
    burst_ms: u64,
    /// Spread of a job's number of tasks and of its processor demand, as standard deviations of
    /// the logarithm.
    spread: (f64, f64),
}

const LARGE: Load = Load { jobs_per_s: 30.0, burst_ms: 4_500, spread: (0.6, 0.45) };
const SMALL: Load = Load { jobs_per_s: 1.5, burst_ms: 4_500, spread: (0.6, 0.45) };
/// Work of a job of median size, in millicores times milliseconds.
const MEDIAN_WORK: f64 = 4_000_000.0;
/// Rate of jobs between two bursts, relative to the rate in a burst.
const IDLE_SHARE: f64 = 0.05 / 4.5;

/// Returns a number of a normal distribution.
fn draw_normal(random: &mut StdRng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

/// Lists the arriving work of a load whose bursts begin at `starts_ms`, counted from the begin of
/// the load.
fn draw_arrivals(load: Load, starts_ms: &[u64], seed: u64) -> Vec<(u64, u64)> {
    let mut random = StdRng::seed_from_u64(seed);
    let end_ms = starts_ms.last().map_or(0, |start| start + 20_000);
    let in_burst =
        |at: u64| starts_ms.iter().any(|start| (*start..start + load.burst_ms).contains(&at));
    let mut arrivals = Vec::new();
    for at in 0..end_ms {
        let share = if in_burst(at) { 1.0 } else { IDLE_SHARE };
        if random.random::<f64>() < load.jobs_per_s * share / 1_000.0 {
            let size =
                draw_normal(&mut random) * load.spread.0 + draw_normal(&mut random) * load.spread.1;
            arrivals.push((at, (MEDIAN_WORK * size.exp()) as u64));
        }
    }
    arrivals
}

/// Describes what a forecast expects at `now_ms` of the burst at `start_ms`.
fn describe(forecast: &TurnForecast, now_ms: u64, start_ms: u64, shared: Option<Millis>) -> String {
    let own = forecast.period().map_or("-".into(), |period| format!("{period}"));
    let trust = forecast.trust_percent();
    let turn = forecast.next_turn(now_ms + LOAD_START_MS, shared);
    let expected = turn.map_or("no forecast".into(), |turn| {
        let offset = turn.start_ms as i64 - (LOAD_START_MS + start_ms) as i64;
        let length = turn.end_ms - turn.start_ms;
        format!("starts {offset:+} ms, lasts {length} ms, {} cores", turn.rate.0 / 1_000)
    });
    format!("{:>6} s: period {own} trust {trust}%: {expected}\n", start_ms as f64 / 1_000.0)
}

/// Feeds a load to a forecast, and describes what it expects before each burst.
fn describe_forecasts(
    forecast: &mut TurnForecast,
    arrivals: &[(u64, u64)],
    starts_ms: &[u64],
    shared: Option<Millis>,
) -> String {
    let mut text = String::new();
    let mut next = arrivals.iter().peekable();
    for start in starts_ms {
        let now_ms = start.saturating_sub(LEAD_MS);
        while let Some((at, work)) = next.next_if(|(at, _)| *at < now_ms) {
            forecast.record_work(LOAD_START_MS + at, *work);
        }
        let _ = write!(text, "{}", describe(forecast, now_ms, *start, shared));
    }
    text
}

/// Lists starts of `count` bursts with a period of 18 s.
fn regular_starts(count: u64) -> Vec<u64> {
    (0..count).map(|number| 5_000 + number * 18_000).collect()
}

/// Guards against a forecast that does not recognise bursts at a stable interval, on a deployment
/// with many small jobs and on one with few jobs of very different sizes.
#[rstest]
#[case::large("stable_large", LARGE)]
#[case::small("stable_small", SMALL)]
fn stable_bursts_are_expected(#[case] name: &str, #[case] load: Load) {
    let starts = regular_starts(8);
    let arrivals = draw_arrivals(load, &starts, 1);
    let text = describe_forecasts(&mut TurnForecast::default(), &arrivals, &starts, None);
    insta::assert_snapshot!(name, text);
}

/// Guards against a pool that has to see several bursts although other pools know the period.
#[rstest]
#[case::large("shared_large", LARGE)]
#[case::small("shared_small", SMALL)]
fn one_burst_is_enough_with_a_shared_period(#[case] name: &str, #[case] load: Load) {
    let starts = regular_starts(4);
    let arrivals = draw_arrivals(load, &starts, 1);
    let shared = Some(Millis(18_000));
    let text = describe_forecasts(&mut TurnForecast::default(), &arrivals, &starts, shared);
    insta::assert_snapshot!(name, text);
}

/// Guards against noise that hides most bursts or that brings forecasts of bursts at wrong times.
#[rstest]
#[case::large("noise_large", 14.0)]
#[case::small("noise_small", 1.0)]
fn noise_rarely_hides_bursts(#[case] name: &str, #[case] jobs_per_s: f64) {
    let load = Load { jobs_per_s, ..LARGE };
    let starts = regular_starts(12);
    let mut text = String::new();
    for seed in 0..20 {
        let arrivals = draw_arrivals(load, &starts, seed);
        let mut forecast = TurnForecast::default();
        let shared = Some(Millis(18_000));
        let lines = describe_forecasts(&mut forecast, &arrivals, &starts, shared);
        let expected = lines.lines().filter_map(|line| line.split_once("starts ")).map(|line| {
            line.1.split_once(' ').and_then(|(offset, _)| offset.parse::<i64>().ok()).unwrap_or(0)
        });
        let offsets: Vec<i64> = expected.collect();
        let near = offsets.iter().filter(|offset| (-1_500..=500).contains(*offset)).count();
        let _ = writeln!(
            text,
            "seed {seed}: of 11 bursts {} expected, {near} at their time, trust {}%",
            offsets.len(),
            forecast.trust_percent()
        );
    }
    insta::assert_snapshot!(name, text);
}

/// Guards against a forecast that counts steady load as bursts.
#[rstest]
#[case(30.0)]
#[case(1.5)]
fn steady_load_gives_no_forecast(#[case] jobs_per_s: f64) {
    for seed in 0..20 {
        let load = Load { jobs_per_s, burst_ms: 300_000, ..LARGE };
        let arrivals = draw_arrivals(load, &[0], seed);
        let mut forecast = TurnForecast::default();
        for (at, work) in arrivals {
            forecast.record_work(LOAD_START_MS + at, work);
            let now = LOAD_START_MS + at;
            assert_eq!(forecast.next_turn(now, None), None, "seed {seed} at {at} ms");
        }
    }
}

/// Guards against one missed burst that ends the forecast, and against several that do not.
#[test]
fn missed_bursts_lower_the_trust() {
    let mut starts = regular_starts(14);
    let all = starts.clone();
    starts.remove(10);
    starts.remove(5);
    starts.remove(5);
    let arrivals = draw_arrivals(LARGE, &starts, 1);
    let text = describe_forecasts(&mut TurnForecast::default(), &arrivals, &all, None);
    insta::assert_snapshot!("missed", text);
}

/// Guards against a forecast by an old period.
#[test]
fn a_changed_period_is_learned() {
    let mut starts = regular_starts(6);
    let changed = starts.last().copied().unwrap_or(0);
    starts.extend((1..=6).map(|number| changed + number * 12_000));
    let arrivals = draw_arrivals(LARGE, &starts, 1);
    let text = describe_forecasts(&mut TurnForecast::default(), &arrivals, &starts, None);
    insta::assert_snapshot!("changed", text);
}

/// Guards against a forecast that outlives its load, and against one that does not recover.
#[test]
fn an_idle_hour_ends_the_forecast() {
    let mut starts = regular_starts(6);
    let resumed = 3_600_000 + 7_000;
    starts.extend((0..6).map(|number| resumed + number * 18_000));
    let arrivals: Vec<(u64, u64)> = draw_arrivals(LARGE, &starts, 1)
        .into_iter()
        .filter(|(at, _)| *at < 110_000 || *at >= resumed)
        .collect();
    let text = describe_forecasts(&mut TurnForecast::default(), &arrivals, &starts, None);
    insta::assert_snapshot!("idle_hour", text);
}

/// Guards against a clock whose jumps leave the forecast wrong or absent for long. The clock runs
/// 2.4 s behind in every second interval of 40 s.
#[test]
fn jumps_of_the_clock_pass() {
    let starts = regular_starts(14);
    let arrivals: Vec<(u64, u64)> = draw_arrivals(LARGE, &starts, 1)
        .into_iter()
        .map(|(at, work)| (if (at / 40_000) % 2 == 1 { at - 2_400 } else { at }, work))
        .collect();
    let shared = Some(Millis(18_000));
    let text = describe_forecasts(&mut TurnForecast::default(), &arrivals, &starts, shared);
    insta::assert_snapshot!("clock_jumps", text);
}

/// Guards against a state that does not recover from times far in the future or in the past.
#[test]
fn times_of_other_years_are_forgotten() {
    let starts = regular_starts(8);
    let mut forecast = TurnForecast::default();
    for at in [u64::MAX, 0, LOAD_START_MS + 3_600_000, u64::MAX / 2, 1] {
        forecast.record_work(at, u64::MAX);
        forecast.next_turn(at, Some(Millis(18_000)));
        forecast.recent_peak(at);
    }
    let arrivals = draw_arrivals(LARGE, &starts, 1);
    let text = describe_forecasts(&mut forecast, &arrivals, &starts, None);
    insta::assert_snapshot!("other_years", text);
}

/// Guards against a single huge job that counts as a burst.
#[test]
fn a_huge_job_is_no_burst() {
    let mut forecast = TurnForecast::default();
    for number in 0..8 {
        forecast.record_work(LOAD_START_MS + number * 18_000, 1_000_000_000);
        forecast.record_work(LOAD_START_MS + number * 18_000 + 9_000, 4_000_000);
    }
    let now = LOAD_START_MS + 8 * 18_000 - 1_000;
    assert_eq!(forecast.next_turn(now, Some(Millis(18_000))), None);
    assert_eq!(forecast.period(), None);
    assert_eq!(forecast.recent_peak(now), Rate(0));
}

/// Returns a forecast that has seen regular bursts.
fn trained_forecast() -> (TurnForecast, u64) {
    let starts = regular_starts(8);
    let arrivals = draw_arrivals(LARGE, &starts, 1);
    let mut forecast = TurnForecast::default();
    describe_forecasts(&mut forecast, &arrivals, &starts, None);
    (forecast, LOAD_START_MS + starts[7])
}

/// Guards against a new owner that has to learn the bursts again.
#[test]
fn a_record_restores_the_forecast() {
    let (forecast, next) = trained_forecast();
    let text = serde_json::to_string(&forecast.to_record()).expect("valid record");
    insta::assert_snapshot!("record", text);
    let restored = TurnForecast::from_record(serde_json::from_str(&text).expect("valid text"));
    let now = next - 3_000;
    assert_eq!(restored.next_turn(now, None), forecast.next_turn(now, None));
    assert_eq!(restored.recent_peak(now), forecast.recent_peak(now));
    assert_eq!(restored.period(), forecast.period());
    assert!(restored.next_turn(now, None).is_some());
}

/// Guards against a record that grows over its bound of 300 bytes.
#[test]
fn records_are_small() {
    let mut forecast = TurnForecast::default();
    for number in 0..400_u64 {
        let at = (number / 20) * 500_000 + (number % 20) * 200;
        forecast.record_work(u64::MAX / 2 + at, u64::MAX);
    }
    let text = serde_json::to_string(&forecast.to_record()).expect("valid record");
    assert!(text.len() <= 300, "{} bytes: {text}", text.len());
    assert!(text.contains("intervals\":[500"), "{text}");
}

/// Guards against a new owner that takes the rest of a burst for a shifted burst.
#[test]
fn a_takeover_during_a_burst_does_not_shift_it() {
    let (forecast, next) = trained_forecast();
    let mut restored = TurnForecast::from_record(forecast.to_record());
    for at in (2_600..4_500).step_by(40) {
        restored.record_work(next + at, 5_000_000);
    }
    restored.record_work(next + 12_000, 5_000_000);
    let turn = restored.next_turn(next + 16_000, None).expect("a forecast");
    let offset = turn.start_ms as i64 - (next + 18_000) as i64;
    assert!((-1_500..=250).contains(&offset), "{offset} ms");
}

/// Guards against harm by records of other versions, and by records that contradict themselves.
#[rstest]
#[case::absent("{}")]
#[case::next_version(
    r#"{"version":2,"first_ms":1765000000000,"intervals":[18000,18000],"lengths":[4500,4500,4500],
        "rates":[1,1,1],"kind":"x"}"#
)]
#[case::uneven(r#"{"version":1,"first_ms":1,"intervals":[],"lengths":[4500,4500],"rates":[1]}"#)]
#[case::still(r#"{"version":1,"first_ms":1,"intervals":[0],"lengths":[1,1],"rates":[1,1]}"#)]
#[case::extreme(
    r#"{"version":1,"first_ms":18446744073709551615,"intervals":[18446744073709551615],
        "lengths":[18446744073709551615,1],"rates":[18446744073709551615,1],
        "peak":18446744073709551615,"peak_ms":0}"#
)]
fn foreign_records_do_no_harm(#[case] text: &str) {
    let record: TurnRecord = serde_json::from_str(text).expect("a readable record");
    let mut forecast = TurnForecast::from_record(record);
    assert_eq!(forecast.next_turn(LOAD_START_MS, Some(Millis(18_000))), None);
    let starts = regular_starts(7);
    let arrivals = draw_arrivals(LARGE, &starts, 1);
    let last = describe_forecasts(&mut forecast, &arrivals, &starts, None);
    assert!(last.lines().last().is_some_and(|line| line.contains("starts ")), "{last}");
}

/// Guards against a shared period that makes a forecast where the pool's own bursts contradict it,
/// and against one of zero.
#[rstest]
#[case(Millis(0))]
#[case(Millis(7_000))]
#[case(Millis(u64::MAX))]
fn a_wrong_shared_period_does_no_harm(#[case] shared: Millis) {
    let (forecast, next) = trained_forecast();
    let alone = forecast.next_turn(next - 2_000, None);
    assert_eq!(forecast.next_turn(next - 2_000, Some(shared)), alone);
}

/// Guards against a peak that stays after the load has fallen, or that is forgotten within a few
/// bursts.
#[test]
fn the_peak_decays_within_minutes() {
    let (forecast, next) = trained_forecast();
    let mut text = String::new();
    for minutes in [0, 1, 3, 6, 15, 60] {
        let peak = forecast.recent_peak(next + minutes * 60_000);
        let _ = writeln!(text, "after {minutes} min: {} cores", peak.0 / 1_000);
    }
    insta::assert_snapshot!("peak", text);
}
