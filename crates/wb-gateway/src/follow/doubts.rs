//! Servers that may have left: they are asked by a health check whether they have.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use http::HeaderMap;
use http::Request;
use http::header::HOST;
use wb_event::Event;
use wb_event::line;
use wb_http::body;
use wb_http::pool::SendOptions;
use wb_members::listing::Lifetime;
use wb_members::listing::doubts::DoubtCause;
use wb_types::id::Moment;
use wb_types::id::ServerName;
use wb_types::roster::Server;

use super::servers;
use crate::Context;
use crate::context::State;
use crate::proxy::leaving;
use crate::proxy::routed::header_text;

/// Interval between two looks at the servers in doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a health check.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest time between two health checks of a server.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Largest body of a response to a health check, in bytes.
const BODY_MAX: usize = 4096;
/// Most health checks at the same time.
const ASKED_MAX: usize = 32;

/// A health check to send.
struct Question {
    server: Server,
    lifetime: Lifetime,
    cause: DoubtCause,
    path: String,
}

/// Asks servers in doubt, sets them aside and drops them when due, until the daemon ends.
pub async fn run(context: Arc<Context>) {
    let mut asked = HashMap::new();
    loop {
        if !is_needed(&context) {
            asked.clear();
            context.doubts_wakeup.notified().await;
        }
        let (questions, recheck) = step(&context, &mut asked);
        if !questions.is_empty() {
            tokio::spawn(ask_all(context.clone(), questions));
        }
        if recheck {
            tokio::spawn(servers::recheck(context.clone()));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn is_needed(context: &Context) -> bool {
    let state = context.state();
    state.listing.lapsed_count() > 0 || state.listing.doubted().next().is_some()
}

/// Applies what is due. Returns the servers to ask now, and whether to read the rows again.
fn step(context: &Context, asked: &mut HashMap<ServerName, Moment>) -> (Vec<Question>, bool) {
    let now = context.now();
    let mut state = context.state();
    servers::expire(context, &mut state);
    if state.listing.update_doubts(now) {
        state.apply_listing(context, now);
    }
    let questions = questions(&state, now, asked);
    (questions, state.listing.recheck_due(now))
}

/// Health checks that are due. If rows may have lapsed, only homes send them, since many servers are
/// concerned at the same time.
fn questions(state: &State, now: Moment, asked: &mut HashMap<ServerName, Moment>) -> Vec<Question> {
    let is_home = state.steering.is_home();
    let doubted = state.listing.doubted();
    let doubted = doubted.filter(|(_, cause)| is_home || *cause == DoubtCause::Restarted);
    let mut questions = Vec::new();
    for (entry, cause) in doubted {
        let server = &entry.server;
        let recent = asked.get(&server.name);
        if recent.is_some_and(|at| now < *at + ASK_INTERVAL) {
            continue;
        }
        let Some(path) = health_path(state, server) else {
            continue;
        };
        asked.insert(server.name.clone(), now);
        questions.push(Question {
            server: server.clone(),
            lifetime: entry.started,
            cause,
            path,
        });
    }
    questions
}

/// Path of the health check of a server's service; `None` if it is not known.
fn health_path(state: &State, server: &Server) -> Option<String> {
    let service = state.routes.as_ref()?.services.get(&server.service)?;
    service.health_path.clone()
}

async fn ask_all(context: Arc<Context>, questions: Vec<Question>) {
    let questions = futures::stream::iter(questions);
    let ask = |question| ask(context.clone(), question);
    questions.for_each_concurrent(ASKED_MAX, ask).await;
}

/// Asks a server, and records what its response says.
async fn ask(context: Arc<Context>, question: Question) {
    let server = &question.server;
    let sent = context.now();
    let asking = tokio::time::timeout(ASK_TIMEOUT, send(&context, &question));
    let result = asking.await.unwrap_or_else(|_| Err("timed out".to_owned()));
    let says = match &result {
        Ok(headers) => says_leaving(&context, server, headers),
        Err(_) => None,
    };
    log(&question, says, result.err());
    match says {
        Some(true) => {
            leaving::record(&context, &server.name, question.lifetime);
        }
        Some(false) => leaving::record_response(&context, &server.name, sent),
        None => {}
    }
}

/// Sends a health check. Returns the headers of the response.
async fn send(context: &Context, question: &Question) -> Result<HeaderMap, String> {
    let address = question.server.address;
    let request = Request::get(&question.path).header(HOST, address.to_string());
    let request = request.body(body::empty()).map_err(|err| err.to_string())?;
    let options = SendOptions::new(question.server.slots, true);
    let response = context.pool.send(address, options, request).await;
    let (head, content) = response.map_err(|err| err.to_string())?.into_parts();
    // The connection can be used again only after the body.
    let content = body::read(content, BODY_MAX, ASK_TIMEOUT).await;
    content.map_err(|err| err.to_string())?;
    Ok(head.headers)
}

/// Whether a server says that it is leaving; `None` if the response is another server's.
fn says_leaving(context: &Context, server: &Server, headers: &HeaderMap) -> Option<bool> {
    let names = &context.headers;
    let name = header_text(headers, &names.instance)?;
    let is_leaving = leaving::says_leaving(headers, &names.server_leaving);
    (*name == *server.name).then_some(is_leaving)
}

fn log(question: &Question, says: Option<bool>, error: Option<String>) {
    let cause: &str = question.cause.into();
    line!(
        Event::ServerAsked,
        server = question.server.name,
        service = question.server.service,
        cause = cause,
        leaving = says,
        error = error
    );
}
