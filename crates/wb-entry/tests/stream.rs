//! Bodies that pass through, on virtual time.

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
use wb_entry::proxy::stream::Timed;

const IDLE: Duration = Duration::from_secs(10);

/// A body whose frames come after pauses, counted from when each is asked for.
fn body(pauses: &[u64]) -> Timed<http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>> {
    let frames = stream::iter(pauses.to_vec()).then(|pause| async move {
        tokio::time::sleep(Duration::from_secs(pause)).await;
        Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"x")))
    });
    let body = BodyExt::boxed_unsync(StreamBody::new(frames));
    Timed::new(body, IDLE, Arc::new(AtomicBool::new(false)))
}

macro_rules! pauses {
    ($($name:ident: $first:literal, $pauses:expr => $whole:literal,)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                let body = body(&$pauses);
                tokio::time::sleep(Duration::from_secs($first)).await;
                assert_eq!(body.collect().await.is_ok(), $whole);
            }
        )*
    };
}

pauses! {
    short_pauses: 0, [9, 9, 9] => true,
    a_long_pause_breaks: 0, [1, 11] => false,
    waiting_in_a_queue_is_no_pause: 60, [1, 1] => true,
}

#[tokio::test(start_paused = true)]
async fn a_pause_is_told() {
    let broken = Arc::new(AtomicBool::new(false));
    let frames = stream::pending::<Result<Frame<Bytes>, Infallible>>();
    let mut body = Timed::new(StreamBody::new(frames), IDLE, broken.clone());
    assert!(body.frame().await.is_some_and(|frame| frame.is_err()));
    assert!(broken.load(Ordering::Relaxed));
}
