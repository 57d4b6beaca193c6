//! One send to one server.

use std::pin::Pin;
use std::sync::Arc;
use std::task;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body::Frame;
use http_body_util::BodyExt;
use wb_balance::Evidence;
use wb_balance::SendOutcome;
use wb_balance::idle::may_be_stale;
use wb_event::Event;
use wb_event::line;
use wb_http::Body;
use wb_http::SendError;
use wb_http::body;
use wb_http::header::end_to_end;
use wb_http::pool::PooledResponse;

use super::intake::Intake;
use super::intake::text;
use super::slot::Slot;
use crate::Context;

/// Connections to backend servers: a new one takes some milliseconds, so half a second without one
/// is a lost packet or a server that is gone; idle ones close well before the servers' usual ten
/// seconds.
pub const POOL: wb_http::pool::Options = wb_http::pool::Options {
    connect_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(8),
    ack_timeout: Duration::from_secs(5),
};
/// Answers up to this size are held until they are whole, in bytes, so that one that breaks off
/// can be asked for again. Some hundred of them fit into a small instance.
const HOLD_MAX: u64 = 256 * 1024;

/// A send counts against its server after this many usual durations; one in thirty takes longer at
/// a sound server.
const OVERDUE: u32 = 3;
/// Shortest time after which a send counts against its server.
const OVERDUE_MIN: Duration = Duration::from_millis(200);

/// How a send ended.
pub enum Outcome {
    /// A whole answer of the server, or one that is whole so far and goes on.
    Answer(Response<Body>),
    /// The server answered that it failed; it has run the request.
    Failed(Response<Body>),
    /// The request was not run.
    Unrun {
        /// Why.
        reason: &'static str,
        /// Whether the server itself was reached.
        sent: bool,
        /// The body, if it was not handed over.
        body: Option<Body>,
    },
    /// The request may have run, and there is no answer.
    Lost {
        /// Why.
        reason: &'static str,
    },
}

/// Sends a request to the server of a slot.
pub async fn run(context: Arc<Context>, intake: Arc<Intake>, slot: Slot, body: Body) -> Outcome {
    let begin = context.now();
    let left = intake.deadline.saturating_sub(begin);
    let request = build(&context, &intake, &slot, body, left);
    let terms = slot.terms();
    let address = slot.grant.server.address;
    let sending = context.pool.send(address, terms, request);
    let overdue = intake.usual(&context, OVERDUE, OVERDUE_MIN);
    let whole = async {
        match sending.await {
            Ok(reply) => {
                let rested = reply.body().idle_time();
                Ok((rested, check(&context, &intake, reply).await))
            }
            Err(err) => Err(err),
        }
    };
    let whole = tokio::time::timeout(left, whole);
    tokio::pin!(whole);
    let result = tokio::select! {
        result = &mut whole => result,
        () = tokio::time::sleep(overdue) => {
            slot.note(Evidence::Overdue);
            whole.await
        }
    };
    match result {
        Ok(Ok((rested, checked))) => {
            match rested {
                Some(rest) => slot.rested(rest),
                None => slot.fresh(true),
            }
            settle(&context, &intake, checked, slot, begin)
        }
        Ok(Err(SendError::NotSent { request, reason })) => {
            report(&intake, &slot, "unreachable", &reason);
            slot.fresh(false);
            slot.end(SendOutcome::Failure(Evidence::Unreachable));
            Outcome::Unrun {
                reason: "unreachable",
                sent: false,
                body: Some(request.into_body()),
            }
        }
        Ok(Err(SendError::NoResponse { reason, idle_time })) => {
            let took = context.now().saturating_sub(begin);
            cut(&intake, slot, &reason, idle_time, took)
        }
        Err(_) => {
            report(
                &intake,
                &slot,
                "timeout",
                "no whole answer before the deadline",
            );
            slot.end(SendOutcome::Timeout);
            Outcome::Lost { reason: "timeout" }
        }
    }
}

/// Ends a send whose connection was reset, so long after it began.
fn cut(
    intake: &Intake,
    slot: Slot,
    why: &str,
    rested: Option<Duration>,
    took: Duration,
) -> Outcome {
    let evidence = match rested {
        Some(rest) if may_be_stale(rest, took) => {
            let why = format!("{why} after a rest of {} ms", rest.as_millis());
            report(intake, &slot, "stale", &why);
            slot.stale(rest);
            Evidence::Stale
        }
        _ => {
            if rested.is_none() {
                slot.fresh(false);
            }
            report(intake, &slot, "cut", why);
            Evidence::Cut
        }
    };
    slot.end(SendOutcome::Failure(evidence));
    Outcome::Lost { reason: "cut" }
}

/// Logs a send that ended without a whole answer.
fn report(intake: &Intake, slot: &Slot, reason: &'static str, error: &str) {
    line!(
        Event::AttemptFailed,
        request = intake.id,
        service = intake.service,
        server = slot.grant.server.name,
        reason = reason,
        error = error
    );
}

fn build(
    context: &Context,
    intake: &Intake,
    slot: &Slot,
    body: Body,
    left: Duration,
) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = intake.head.method.clone();
    let path = intake.head.uri.path_and_query();
    if let Some(path) = path {
        *request.uri_mut() = http::Uri::from(path.clone());
    }
    let mut headers = end_to_end(&intake.head.headers);
    headers.remove(http::header::EXPECT);
    let names = &context.headers;
    headers.insert(&names.deadline, HeaderValue::from(left.as_millis() as u64));
    if let Ok(name) = HeaderValue::from_str(&slot.grant.server.name) {
        headers.insert(&names.target, name);
    }
    *request.headers_mut() = headers;
    request
}

/// What an answer turned out to be.
enum Checked {
    Whole(Response<Bytes>),
    Long(PooledResponse),
    Shed,
    Misdirected,
    Spoilt(String),
}

/// Checks an answer and reads it whole if it is small.
async fn check(context: &Context, intake: &Intake, reply: PooledResponse) -> Checked {
    let names = &context.headers;
    let status = reply.status();
    let echoed = text(reply.headers(), &names.request_id);
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Checked::Misdirected;
    }
    if echoed.is_some_and(|echoed| echoed != intake.id) {
        return Checked::Spoilt("answer to another request".to_owned());
    }
    if reply.headers().contains_key(&names.not_executed) {
        return Checked::Shed;
    }
    let signed = reply.headers().contains_key(&names.signature);
    if status.is_success() && (!signed || echoed.is_none()) {
        return Checked::Spoilt("success without a signature".to_owned());
    }
    let size = http_body::Body::size_hint(reply.body());
    if size.lower() > HOLD_MAX {
        return Checked::Long(reply);
    }
    let (parts, answer) = reply.into_parts();
    match answer.collect().await {
        Ok(whole) => Checked::Whole(Response::from_parts(parts, whole.to_bytes())),
        Err(err) => Checked::Spoilt(err.to_string()),
    }
}

fn settle(
    context: &Context,
    intake: &Intake,
    checked: Checked,
    slot: Slot,
    begin: Duration,
) -> Outcome {
    let took = context.now().saturating_sub(begin);
    match checked {
        Checked::Whole(response) => {
            let failed = response.status().is_server_error();
            slot.end(if failed {
                SendOutcome::Failure(Evidence::Failed)
            } else {
                SendOutcome::Success(took)
            });
            let (mut parts, bytes) = response.into_parts();
            parts.headers = end_to_end(&parts.headers);
            let response = Response::from_parts(parts, body::full(bytes));
            if failed {
                Outcome::Failed(response)
            } else {
                Outcome::Answer(response)
            }
        }
        Checked::Long(reply) => {
            let (mut parts, answer) = reply.into_parts();
            parts.headers = end_to_end(&parts.headers);
            let held = Held {
                body: answer,
                slot: Some(slot),
                took,
            };
            Outcome::Answer(Response::from_parts(parts, body::boxed(held)))
        }
        Checked::Shed => {
            report(intake, &slot, "shed", "the server did not run it");
            slot.end(SendOutcome::Shed);
            unrun("shed")
        }
        Checked::Misdirected => {
            report(
                intake,
                &slot,
                "misdirected",
                "another server has the address",
            );
            slot.end(SendOutcome::Misdirected);
            unrun("misdirected")
        }
        Checked::Spoilt(error) => {
            report(intake, &slot, "spoilt", &error);
            slot.end(SendOutcome::Failure(Evidence::Cut));
            Outcome::Lost { reason: "spoilt" }
        }
    }
}

fn unrun(reason: &'static str) -> Outcome {
    Outcome::Unrun {
        reason,
        sent: true,
        body: None,
    }
}

/// Body of a long answer, which holds its slot until it has passed through.
struct Held {
    body: wb_http::pool::ResponseBody,
    slot: Option<Slot>,
    took: Duration,
}

impl http_body::Body for Held {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let ending = match &frame {
            Some(Ok(_)) => None,
            Some(Err(_)) => Some(SendOutcome::Failure(Evidence::Cut)),
            None => Some(SendOutcome::Success(self.took)),
        };
        if let Some(ending) = ending
            && let Some(slot) = self.slot.take()
        {
            slot.end(ending);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
