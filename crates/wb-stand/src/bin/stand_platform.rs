//! The platform's stand-in as a process.

use std::sync::Arc;

use eyre::Context;
use tokio::net::TcpListener;
use tokio::sync::watch;
use wb_http::serve;
use wb_stand::platform::StandInPlatform;
use wb_types::roster::Roster;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-in for the platform's table service, object store and list.
        cmd stand-platform {
            /// Address to listen on.
            required --listen address: SocketAddr
            /// File with the list of instances and backend servers, in JSON.
            required --roster file: PathBuf
        }
    }
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let flags = flags::StandPlatform::from_env_or_exit();
    let text = std::fs::read_to_string(&flags.roster).wrap_err("the roster can't be read")?;
    let roster: Roster = serde_json::from_str(&text).wrap_err("the roster is malformed")?;
    let listener = TcpListener::bind(flags.listen).await?;
    let (_stop, stopped) = watch::channel(false);
    let stand = Arc::new(StandInPlatform::new(roster));
    serve::serve(listener, serve::Options::default(), stand, stopped).await;
    Ok(())
}
