//! Tests, in virtual time, that a call times out by the silence of the server and not by the
//! delay of the thread that makes the call.
//!
//! [`stall`] stands for work that keeps the thread: time passes and no other task runs.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, MissedTickBehavior, advance, interval, sleep};
use transport::{StallMeter, TimedOut, wait_with_timeout};

const TIMEOUT: Duration = Duration::from_millis(600);
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Number of polls that a connection needs to read a complete answer.
const READS: usize = 4;

fn paused_runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().expect("build the runtime")
}

/// Starts a call beside a periodic timer of the thread, whose delays show the stalls.
fn start_call<T: Send + 'static>(
    call: impl Future<Output = T> + Send + 'static,
) -> JoinHandle<Result<T, TimedOut>> {
    let meter = Arc::new(StallMeter::default());
    let timer_meter = Arc::clone(&meter);
    tokio::spawn(async move {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due = ticks.tick().await;
            timer_meter.record_delay(due.elapsed());
        }
    });
    tokio::spawn(async move { wait_with_timeout(&meter, TIMEOUT, call).await })
}

async fn stall(duration: Duration) {
    advance(duration).await;
}

#[test]
fn answer_that_arrives_during_stall_is_taken() {
    paused_runtime().block_on(async {
        let (answer, receiver) = oneshot::channel();
        let call = start_call(receiver);
        yield_now().await;
        let (arrival, arrived) = oneshot::channel();
        tokio::spawn(async move {
            let _ = arrived.await;
            for _ in 0..READS {
                yield_now().await;
            }
            let _ = answer.send("answer");
        });
        yield_now().await;
        let _ = arrival.send(());
        stall(TIMEOUT * 2).await;
        assert_eq!(call.await.expect("the call ends"), Ok(Ok("answer")));
    });
}

#[test]
fn answer_that_arrives_during_stall_at_end_of_timeout_is_taken() {
    paused_runtime().block_on(async {
        let (answer, receiver) = oneshot::channel();
        let call = start_call(receiver);
        sleep(TIMEOUT - Duration::from_millis(10)).await;
        tokio::spawn(async move {
            for _ in 0..READS {
                yield_now().await;
            }
            let _ = answer.send("answer");
        });
        stall(Duration::from_millis(100)).await;
        assert_eq!(call.await.expect("the call ends"), Ok(Ok("answer")));
    });
}

#[test]
fn stall_before_request_is_sent_does_not_use_up_timeout() {
    paused_runtime().block_on(async {
        let (answer, receiver) = oneshot::channel();
        let call = start_call(receiver);
        yield_now().await;
        stall(TIMEOUT - Duration::from_millis(10)).await;
        tokio::spawn(async move {
            sleep(Duration::from_millis(50)).await;
            let _ = answer.send("answer");
        });
        assert_eq!(call.await.expect("the call ends"), Ok(Ok("answer")));
    });
}

#[test]
fn silent_server_times_out_after_timeout() {
    paused_runtime().block_on(async {
        let started = Instant::now();
        let result = start_call(std::future::pending::<()>()).await.expect("the call ends");
        assert_eq!(result, Err(TimedOut(TIMEOUT)));
        assert_eq!(started.elapsed(), TIMEOUT);
    });
}

#[test]
fn repeated_stalls_do_not_extend_timeout_for_ever() {
    paused_runtime().block_on(async {
        let call = start_call(std::future::pending::<()>());
        yield_now().await;
        for _ in 0..32 {
            stall(TIMEOUT).await;
        }
        assert!(call.is_finished());
    });
}
