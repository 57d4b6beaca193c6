//! Process that relays network links. `POST /control/link/{index}` sets the state of a link.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::OptionExt;
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
use wb_stand::relay::Relay;
use wb_stand::reply;

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Network links between processes that can be cut, also in one direction.
        cmd stand-relay {
            /// Address of the control API.
            required --control address: SocketAddr
            /// A link, as `listen=target`; its index is its position on the command line, from 0.
            repeated --link link: String
        }
    }
}

/// Control API for all links of the process.
struct Control {
    relays: Vec<Relay>,
}

impl Control {
    async fn respond(&self, request: Request<RequestBody>) -> Response<Body> {
        let index = request.uri().path().strip_prefix("/control/link/");
        let index = index.and_then(|index| index.parse::<usize>().ok());
        let Some(relay) = index.and_then(|index| self.relays.get(index)) else {
            return reply::empty_response(StatusCode::NOT_FOUND);
        };
        match reply::read(request.into_body()).await {
            Ok(link) => {
                relay.set_link(link);
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
    let flags = flags::StandRelay::from_env_or_exit();
    let mut relays = Vec::new();
    for link in &flags.link {
        let (listen, target) = link
            .split_once('=')
            .ok_or_eyre("--link must be listen=target")?;
        let listener = TcpListener::bind(listen).await?;
        relays.push(Relay::start(listener, target.parse()?));
    }
    let listener = TcpListener::bind(flags.control).await?;
    let (_stop, stopped) = watch::channel(false);
    let control = Arc::new(Control { relays });
    serve::serve(listener, serve::Options::default(), control, stopped).await;
    Ok(())
}
