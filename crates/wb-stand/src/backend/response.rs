//! Response bodies that are cut off.

use std::io;

use bytes::Bytes;
use futures::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use wb_http::Body;
use wb_http::body;
use wb_http::body::BoxError;

/// Creates a body that fails after half of its bytes.
pub(super) fn truncated(content: &Bytes) -> Body {
    let half = content.slice(..content.len() / 2);
    let frames: Vec<Result<Frame<Bytes>, BoxError>> = vec![
        Ok(Frame::data(half)),
        Err(io::Error::other("response cut off by fault injection").into()),
    ];
    body::boxed(StreamBody::new(stream::iter(frames)))
}
