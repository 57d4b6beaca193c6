//! Bodies of answers, whole and broken.

use std::io;

use bytes::Bytes;
use futures::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use wb_http::Body;
use wb_http::body;
use wb_http::body::BoxError;

/// A body that breaks off after half of its bytes.
pub(super) fn broken(content: &Bytes) -> Body {
    let half = content.slice(..content.len() / 2);
    let frames: Vec<Result<Frame<Bytes>, BoxError>> = vec![
        Ok(Frame::data(half)),
        Err(io::Error::other("cut on request").into()),
    ];
    body::boxed(StreamBody::new(stream::iter(frames)))
}
