//! Command line for operators.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use eyre::Context;
use eyre::OptionExt;
use wb_ctl::OperatorClient;
use wb_ctl::callers;
use wb_ctl::show;
use wb_ctl::table_file;
use wb_settings::Settings;
use wb_table::table_file::parse;
use wb_table::table_file::write;
use wb_types::policy::Edit;
use wb_types::policy::EditOutcome;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Command line for operators. Commands that contact an instance need the environment
        /// variable WISTERIA_TOKEN.
        cmd wisteria {
            /// Checks a settings file and prints the effective settings.
            cmd check {
                required file: PathBuf
            }
            /// Checks a table file.
            cmd check-table {
                required file: PathBuf
            }
            /// Shows the policy table in force.
            cmd table {
                /// Operators' address of an instance.
                required --at address: SocketAddr
                /// Prints the file format instead of an aligned table.
                optional --csv
            }
            /// Applies a table file: adds or replaces the rows that differ.
            cmd apply {
                required file: PathBuf
                /// Operators' address of an instance. The first one gets the edit; --wait checks
                /// all of them.
                repeated --at address: SocketAddr
                /// Table version on which the file is based [default: the current version].
                optional --base version: u64
                /// Deletes rows that are missing from the file.
                optional --prune
                /// Waits until the edit is in force at all addresses.
                optional --wait
            }
            /// Adds or replaces callers from a file.
            cmd callers {
                required file: PathBuf
                /// Operators' address of an instance.
                required --at address: SocketAddr
            }
            /// Shows the result of an edit.
            cmd edit-state {
                required id: String
                /// Operators' address of an instance.
                required --at address: SocketAddr
            }
            /// Shows the state of the fleet as seen by an instance.
            cmd status {
                /// Operators' address of an instance.
                required --at address: SocketAddr
            }
            /// Explains the decisions about a request, with the requests served before and after
            /// it.
            cmd explain {
                required request: String
                /// Operators' address of an instance.
                required --at address: SocketAddr
            }
        }
    }
}

/// Timeout of `apply --wait`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks whether an edit is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let flags = flags::Wisteria::from_env_or_exit();
    match run(flags.subcommand).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("wisteria: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: flags::WisteriaCmd) -> eyre::Result<bool> {
    use flags::WisteriaCmd;
    match command {
        WisteriaCmd::Check(check) => check_settings(&check.file),
        WisteriaCmd::CheckTable(check) => check_table(&check.file),
        WisteriaCmd::Table(table) => show_table(table.at, table.csv).await,
        WisteriaCmd::Apply(apply) => apply_table(apply).await,
        WisteriaCmd::Callers(add) => add_callers(&add.file, add.at).await,
        WisteriaCmd::EditState(edit) => {
            let outcome = client(edit.at)?.edit_state(&edit.id).await?;
            Ok(print_outcome(&outcome))
        }
        WisteriaCmd::Status(status) => {
            println!("{}", show::status(&client(status.at)?.status().await?));
            Ok(true)
        }
        WisteriaCmd::Explain(explain) => {
            let explanation = client(explain.at)?.explain(&explain.request).await?;
            print!("{}", show::explanation(&explanation));
            Ok(!explanation.decisions.is_empty())
        }
    }
}

fn client(address: SocketAddr) -> eyre::Result<OperatorClient> {
    let token = std::env::var("WISTERIA_TOKEN").wrap_err("WISTERIA_TOKEN is not set")?;
    Ok(OperatorClient::new(address, &token))
}

fn read(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("can't read {}", file.display()))
}

fn check_settings(file: &Path) -> eyre::Result<bool> {
    match Settings::parse(&file.display().to_string(), &read(file)?) {
        Ok(settings) => {
            print!("{settings}");
            Ok(true)
        }
        Err(findings) => {
            findings.iter().for_each(|finding| eprintln!("{finding}"));
            Ok(false)
        }
    }
}

fn check_table(file: &Path) -> eyre::Result<bool> {
    match parse(&read(file)?) {
        Ok(rows) => {
            println!("{} rows, no findings", rows.len());
            Ok(true)
        }
        Err(findings) => {
            let name = file.display();
            findings
                .iter()
                .for_each(|finding| eprintln!("{name}: {finding}"));
            Ok(false)
        }
    }
}

async fn show_table(address: SocketAddr, csv: bool) -> eyre::Result<bool> {
    let delta = client(address)?.table().await?;
    if csv {
        print!("{}", write(table_file::policy_rows(&delta).values()));
    } else {
        println!("{}", show::table(&delta));
    }
    Ok(true)
}

async fn apply_table(apply: flags::Apply) -> eyre::Result<bool> {
    if !check_table(&apply.file)? {
        return Ok(false);
    }
    let rows = parse(&read(&apply.file)?).expect("the file was just checked");
    let first = *apply.at.first().ok_or_eyre("--at is missing")?;
    let client = client(first)?;
    let table = client.table().await?;
    let base = apply.base.unwrap_or(table.upto);
    let edit = table_file::diff(rows, &table, base, apply.prune);
    if edit.rows.is_empty() && edit.dropped.is_empty() {
        println!("no changes against table version {}", table.upto);
        return Ok(true);
    }
    println!(
        "edit {}: {} rows",
        edit.id,
        edit.rows.len() + edit.dropped.len()
    );
    let outcome = client.submit_edit(&edit).await?;
    let accepted = print_outcome(&outcome);
    if let (EditOutcome::Accepted(version), true) = (&outcome, apply.wait) {
        return wait_in_force(&apply.at, *version).await;
    }
    Ok(accepted)
}

/// Prints the result of an edit and returns whether it was accepted.
fn print_outcome(outcome: &EditOutcome) -> bool {
    println!("{}", show::outcome(outcome));
    matches!(outcome, EditOutcome::Accepted(_))
}

/// Waits until a version is in force at all addresses; returns whether it is.
async fn wait_in_force(addresses: &[SocketAddr], version: u64) -> eyre::Result<bool> {
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < WAIT_TIMEOUT {
        count = 0;
        for address in addresses {
            let table = client(*address)?.table().await;
            let at = table.map(|table| newest(&table)).unwrap_or(0);
            count += usize::from(at >= version);
        }
        if count == addresses.len() {
            println!(
                "in force at {count} instances after {:?}",
                started.elapsed()
            );
            return Ok(true);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!("in force at {count} of {} instances", addresses.len());
    Ok(false)
}

/// Highest version in force: that of the table, or of a row that is newer than it.
fn newest(table: &wb_types::policy::Delta) -> u64 {
    let rows = table.rows.iter().map(|row| row.version).max();
    rows.unwrap_or(0).max(table.upto)
}

async fn add_callers(file: &Path, address: SocketAddr) -> eyre::Result<bool> {
    let client = client(address)?;
    let edit = Edit {
        id: table_file::new_edit_id(),
        base: client.table().await?.upto,
        rows: Vec::new(),
        dropped: Vec::new(),
        callers: callers::parse(&read(file)?)?,
    };
    println!("edit {}: {} callers", edit.id, edit.callers.len());
    let outcome = client.submit_edit(&edit).await?;
    Ok(print_outcome(&outcome))
}
