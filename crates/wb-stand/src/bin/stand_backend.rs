//! Process that stands in for all backend servers of a roster.
//!
//! Besides the addresses of the servers it listens on a control address with
//! `POST /control/knobs/{service}/{server}`, `GET /control/ledger` and `GET /control/stats`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Context;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::serve;
use wb_http::serve::Handler;
use wb_stand::backend::Backend;
use wb_stand::backend::Ledger;
use wb_stand::reply;
use wb_types::roster::Roster;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-in for all backend servers of a roster, with fault injection.
        cmd stand-backend {
            /// Address of the control API.
            required --control address: SocketAddr
            /// File with the list of instances and backend servers, in JSON.
            required --roster file: PathBuf
        }
    }
}

/// Control API for all servers of the process.
struct Control {
    servers: HashMap<String, Arc<Backend>>,
    ledger: Arc<Ledger>,
}

impl Control {
    async fn respond(&self, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/control/ledger" {
            return reply::json(StatusCode::OK, &self.ledger.counts());
        }
        if path == "/control/stats" {
            let stats: Vec<_> = self.servers.values().map(|server| server.stats()).collect();
            return reply::json(StatusCode::OK, &stats);
        }
        let name = path.strip_prefix("/control/knobs/").unwrap_or_default();
        let Some(server) = self.servers.get(name) else {
            return reply::empty_response(StatusCode::NOT_FOUND);
        };
        match reply::read(request.into_body()).await {
            Ok(faults) => {
                server.set_faults(faults);
                reply::empty_response(StatusCode::OK)
            }
            Err(response) => response,
        }
    }
}

impl Handler for Control {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move { self.respond(request).await }.boxed()
    }
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let flags = flags::StandBackend::from_env_or_exit();
    let text = std::fs::read_to_string(&flags.roster).wrap_err("can't read the roster file")?;
    let roster: Roster = serde_json::from_str(&text).wrap_err("malformed roster file")?;
    let ledger = Arc::new(Ledger::default());
    let (_stop, stopped) = watch::channel(false);
    let mut servers = HashMap::new();
    for server in roster.servers {
        let listener = TcpListener::bind(server.address).await?;
        let name = format!("{}/{}", server.service, server.name);
        let backend = Arc::new(Backend::new(server, ledger.clone()));
        servers.insert(name, backend.clone());
        let options = serve::Options::default();
        tokio::spawn(serve::serve(listener, options, backend, stopped.clone()));
    }
    let listener = TcpListener::bind(flags.control).await?;
    let control = Arc::new(Control { servers, ledger });
    serve::serve(listener, serve::Options::default(), control, stopped).await;
    Ok(())
}
