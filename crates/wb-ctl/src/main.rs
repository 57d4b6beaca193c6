//! The operators' command line.

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
        /// Operators' command line. Calls need the environment variable WISTERIA_TOKEN.
        cmd wisteria {
            /// Checks a settings file and prints the effective settings.
            cmd check {
                required file: PathBuf
            }
            /// Checks a table file.
            cmd check-table {
                required file: PathBuf
            }
            /// Shows the table that is in force.
            cmd table {
                /// Operators' address of an instance.
                required --at address: SocketAddr
                /// Prints the file format instead of an aligned table.
                optional --csv
            }
            /// Brings the table to a file: changes the rows that differ.
            cmd apply {
                required file: PathBuf
                /// Operators' address of an instance; more of them are asked by --wait.
                repeated --at address: SocketAddr
                /// Version that the file was made against; the current one if not given.
                optional --base version: u64
                /// Deletes rows that the file does not have.
                optional --prune
                /// Waits until the edit is in force at all the addresses.
                optional --wait
            }
            /// Adds or changes callers from a file.
            cmd callers {
                required file: PathBuf
                /// Operators' address of an instance.
                required --at address: SocketAddr
            }
            /// Tells what became of an edit.
            cmd edit-state {
                required id: String
                /// Operators' address of an instance.
                required --at address: SocketAddr
            }
            /// Shows the fleet as an instance sees it.
            cmd status {
                /// Operators' address of an instance.
                required --at address: SocketAddr
            }
            /// Tells how a request was decided, and whom it was served before and after.
            cmd explain {
                required request: String
                /// Operators' address of an instance.
                required --at address: SocketAddr
            }
        }
    }
}

/// Longest wait for an edit to be in force.
const WAIT: Duration = Duration::from_secs(30);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

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
            let outcome = operator(edit.at)?.edit_state(&edit.id).await?;
            Ok(print_outcome(&outcome))
        }
        WisteriaCmd::Status(status) => {
            println!("{}", show::status(&operator(status.at)?.status().await?));
            Ok(true)
        }
        WisteriaCmd::Explain(explain) => {
            let explanation = operator(explain.at)?.explain(&explain.request).await?;
            print!("{}", show::explanation(&explanation));
            Ok(!explanation.decisions.is_empty())
        }
    }
}

fn operator(address: SocketAddr) -> eyre::Result<OperatorClient> {
    let token = std::env::var("WISTERIA_TOKEN").wrap_err("WISTERIA_TOKEN is not set")?;
    Ok(OperatorClient::new(address, &token))
}

fn read(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("{} can't be read", file.display()))
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
    let delta = operator(address)?.table().await?;
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
    let operator = operator(first)?;
    let table = operator.table().await?;
    let base = apply.base.unwrap_or(table.upto);
    let edit = table_file::diff(rows, &table, base, apply.prune);
    if edit.rows.is_empty() && edit.dropped.is_empty() {
        println!("no row differs from the table at version {}", table.upto);
        return Ok(true);
    }
    println!(
        "edit {}: {} rows",
        edit.id,
        edit.rows.len() + edit.dropped.len()
    );
    let outcome = operator.submit_edit(&edit).await?;
    let accepted = print_outcome(&outcome);
    if let (EditOutcome::Accepted(version), true) = (&outcome, apply.wait) {
        return wait(&apply.at, *version).await;
    }
    Ok(accepted)
}

fn print_outcome(outcome: &EditOutcome) -> bool {
    println!("{}", show::outcome(outcome));
    matches!(outcome, EditOutcome::Accepted(_))
}

/// Waits until a version is in force at all addresses.
async fn wait(addresses: &[SocketAddr], version: u64) -> eyre::Result<bool> {
    let began = Instant::now();
    let mut count = 0;
    while began.elapsed() < WAIT {
        count = 0;
        for address in addresses {
            let table = operator(*address)?.table().await;
            let at = table.map(|table| newest(&table)).unwrap_or(0);
            count += usize::from(at >= version);
        }
        if count == addresses.len() {
            println!("in force at {count} instances after {:?}", began.elapsed());
            return Ok(true);
        }
        tokio::time::sleep(PAUSE).await;
    }
    println!("in force at {count} of {} instances", addresses.len());
    Ok(false)
}

/// Highest version in force: the table's own, or that of rows beyond it.
fn newest(table: &wb_types::policy::Delta) -> u64 {
    let rows = table.rows.iter().map(|row| row.version).max();
    rows.unwrap_or(0).max(table.upto)
}

async fn add_callers(file: &Path, address: SocketAddr) -> eyre::Result<bool> {
    let operator = operator(address)?;
    let edit = Edit {
        id: table_file::new_edit_id(),
        base: operator.table().await?.upto,
        rows: Vec::new(),
        dropped: Vec::new(),
        callers: callers::parse(&read(file)?)?,
    };
    println!("edit {}: {} callers", edit.id, edit.callers.len());
    let outcome = operator.submit_edit(&edit).await?;
    Ok(print_outcome(&outcome))
}
