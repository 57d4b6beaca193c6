//! Checks a server's response, and buffers it if it is small.

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http_body_util::BodyExt;
use wb_http::pool::PooledResponse;
use wb_http::pool::ResponseBody;

use super::buffers::Reservation;
use super::claim::Claim;
use super::routed::RoutedRequest;
use crate::Context;

/// Responses up to this size, in bytes, are buffered before they are passed on, so that a request
/// can be retried if its response breaks off. A small instance has memory for a few hundred of them.
const BUFFER_MAX: u64 = 256 * 1024;

/// Response of a server, checked.
pub(super) enum CheckedResponse {
    /// A complete response, and the memory that its body takes.
    Buffered(Response<Bytes>, Reservation),
    /// A successful response that is too large to buffer, its first bytes and the memory that these
    /// take.
    Streaming(PooledResponse, Bytes, Reservation),
    /// The server shed the request without executing it.
    Shed,
    /// Another server got the request, and did not execute it.
    Misdirected,
    /// Nothing that can be believed, for this reason.
    Invalid(String),
    /// The connection was cut in the body.
    Broken(String),
}

/// Checks a response, and buffers it if it is small.
pub(super) async fn check(
    context: &Context,
    routed: &RoutedRequest,
    response: PooledResponse,
) -> CheckedResponse {
    let claim = Claim::of(context, routed, &response);
    let status = response.status();
    let (parts, mut stream) = response.into_parts();
    match claim {
        Claim::Answered => {}
        Claim::Shed => return CheckedResponse::Shed,
        Claim::Misdirected => return CheckedResponse::Misdirected,
        Claim::Invalid(error) => {
            stream.close();
            return CheckedResponse::Invalid(error.to_owned());
        }
    }
    let mut reservation = context.buffers.reserve_response(routed.team_share());
    match read_prefix(&mut stream, &mut reservation).await {
        Ok(Prefix::Whole(data)) => {
            CheckedResponse::Buffered(Response::from_parts(parts, data), reservation)
        }
        Ok(Prefix::Part(data)) if status.is_success() => {
            let response = Response::from_parts(parts, stream);
            CheckedResponse::Streaming(response, data, reservation)
        }
        Ok(Prefix::Part(data)) => CheckedResponse::Invalid(format!(
            "{status} with more than {} bytes, of which {BUFFER_MAX} may be buffered and {} are free",
            data.len(),
            context.buffers.free()
        )),
        Err(err) => CheckedResponse::Broken(err.to_string()),
    }
}

/// First bytes of a body.
enum Prefix {
    /// All of it.
    Whole(Bytes),
    /// More than is buffered; the rest can still be read.
    Part(Bytes),
}

/// Reads a body up to the size that is buffered, as far as there is memory. A faulty server may send
/// without end, and many may do so at once.
async fn read_prefix(
    body: &mut ResponseBody,
    reservation: &mut Reservation,
) -> Result<Prefix, hyper::Error> {
    let mut bytes = BytesMut::new();
    if http_body::Body::size_hint(body).lower() > BUFFER_MAX {
        return Ok(Prefix::Part(bytes.freeze()));
    }
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() as u64 > BUFFER_MAX || !reservation.grow(bytes.capacity()) {
            return Ok(Prefix::Part(bytes.freeze()));
        }
    }
    Ok(Prefix::Whole(bytes.freeze()))
}
