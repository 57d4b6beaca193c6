//! Command line of the entry daemon.

use std::process::ExitCode;

use eyre::Context;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use wb_entry::daemon::Daemon;
use wb_entry::shutdown;
use wb_event::Event;
use wb_event::emit;
use wb_settings::Settings;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Entry daemon: forwards requests of callers to backend servers.
        cmd wisteria-entry {
            /// Settings file.
            required --settings file: PathBuf
            /// Checks the settings, prints the effective ones and exits.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::WisteriaEntry::from_env_or_exit();
    let levels = env_logger::Env::default().default_filter_or("wisteria=info");
    env_logger::Builder::from_env(levels)
        .format_timestamp_micros()
        .init();
    match run(flags) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("wisteria-entry: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: flags::WisteriaEntry) -> eyre::Result<ExitCode> {
    let file = flags.settings.display().to_string();
    let text = std::fs::read_to_string(&flags.settings)
        .wrap_err_with(|| format!("{file} can't be read"))?;
    let settings = match Settings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            return Ok(ExitCode::FAILURE);
        }
    };
    if flags.check {
        print!("{settings}");
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        () = shutdown::shutdown(daemon) => {}
        _ = terminate.recv() => emit!(Event::Cut, "signal=TERM"),
        _ = interrupt.recv() => emit!(Event::Cut, "signal=INT"),
    }
    Ok(ExitCode::SUCCESS)
}
