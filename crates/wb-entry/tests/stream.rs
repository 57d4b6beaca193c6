//! Idle timeout of streamed bodies, on virtual time.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use wb_entry::proxy::stream::IdleTimeoutBody;

const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a body whose frames arrive after pauses in seconds, each counted from the read of the
/// frame.
fn body(
    pauses: &[u64],
) -> IdleTimeoutBody<http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>> {
    let frames = stream::iter(pauses.to_vec()).then(|pause| async move {
        tokio::time::sleep(Duration::from_secs(pause)).await;
        Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"x")))
    });
    let body = BodyExt::boxed_unsync(StreamBody::new(frames));
    IdleTimeoutBody::new(body, IDLE_TIMEOUT, Arc::new(AtomicBool::new(false)))
}

macro_rules! pauses {
    ($($name:ident: $first:literal, $pauses:expr => $completes:literal,)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                let body = body(&$pauses);
                tokio::time::sleep(Duration::from_secs($first)).await;
                assert_eq!(body.collect().await.is_ok(), $completes);
            }
        )*
    };
}

pauses! {
    short_pauses_pass: 0, [9, 9, 9] => true,
    a_long_pause_times_out: 0, [1, 11] => false,
    time_before_the_first_read_does_not_count: 60, [1, 1] => true,
}

#[tokio::test(start_paused = true)]
async fn a_timeout_sets_the_aborted_flag() {
    let aborted = Arc::new(AtomicBool::new(false));
    let frames = stream::pending::<Result<Frame<Bytes>, Infallible>>();
    let mut body = IdleTimeoutBody::new(StreamBody::new(frames), IDLE_TIMEOUT, aborted.clone());
    assert!(body.frame().await.is_some_and(|frame| frame.is_err()));
    assert!(aborted.load(Ordering::Relaxed));
}
