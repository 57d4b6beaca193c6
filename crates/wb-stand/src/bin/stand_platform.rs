//! Process that stands in for the platform.

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
        /// Stand-in for the platform's table service, object store and list of processes.
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
    let text = std::fs::read_to_string(&flags.roster).wrap_err("can't read the roster file")?;
    let roster: Roster = serde_json::from_str(&text).wrap_err("malformed roster file")?;
    let listener = TcpListener::bind(flags.listen).await?;
    let (_stop, stopped) = watch::channel(false);
    let platform = Arc::new(StandInPlatform::new(roster));
    serve::serve(listener, serve::Options::default(), platform, stopped).await;
    Ok(())
}
