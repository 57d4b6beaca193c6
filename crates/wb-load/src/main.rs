//! Load and experiment tool.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use wb_load::added;
use wb_load::alarms;
use wb_load::demo;
use wb_load::edits;
use wb_load::experiment;
use wb_load::experiment::Plan;
use wb_load::fleet::Fleet;
use wb_load::fleet::Options;
use wb_load::mixed;
use wb_load::slopes;
use wb_load::soak;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Starts small fleets of real processes and measures them.
        cmd wisteria-load {
            /// Folder for settings, logs and results; `out` if not given.
            optional --out folder: PathBuf
            /// Number of entry processes; 6 if not given.
            optional --entries count: usize
            /// Homes of each service in each failure domain; 1 if not given.
            optional --homes count: usize
            /// Seed; 1 if not given.
            optional --seed seed: u64
            /// Starts a fleet, sends some requests and prints what they did.
            cmd demo {
                required example: PathBuf
                /// Keeps serving until the program is stopped.
                optional --serve
            }
            /// Lookups, orders and uploads, every answer checked.
            cmd mixed {
                required example: PathBuf
                /// Number of requests; 10000 if not given.
                optional --requests count: usize
            }
            /// Latency through the fleet and straight to the backend servers.
            cmd added {
                required example: PathBuf
                /// Requests per second; 400 if not given.
                optional --rate rate: f64
                /// Length in seconds; 20 if not given.
                optional --seconds seconds: u64
            }
            /// Orders under kills, pauses and platform faults.
            cmd soak {
                required example: PathBuf
                /// Number of orders; 100000 if not given.
                optional --orders count: usize
            }
            /// Time until an accepted edit is in force at all instances.
            cmd edits {
                required example: PathBuf
                /// Number of edits; 100 if not given.
                optional --edits count: usize
            }
            /// Wrong ejections and detection on virtual time.
            cmd alarms {
                /// Server-hours; 1000 if not given.
                optional --hours hours: f64
            }
            /// Costs of state, messages and decisions at several sizes.
            cmd slopes {
                required example: PathBuf
            }
            /// Runs an experiment file.
            cmd experiment {
                required file: PathBuf
                /// Policies to run in turn: `ours`, `naive` or `naive,ours`.
                optional --compare policies: String
            }
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::WisteriaLoad::from_env_or_exit();
    match run(flags).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("wisteria-load: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: flags::WisteriaLoad) -> eyre::Result<bool> {
    use flags::WisteriaLoadCmd;
    let out = flags.out.clone().unwrap_or_else(|| PathBuf::from("out"));
    let seed = flags.seed.unwrap_or(1);
    let options = |example: PathBuf, name: &str| Options {
        example,
        out: out.join(name),
        entries: flags.entries.unwrap_or(6),
        homes: flags.homes.unwrap_or(1),
        naive: false,
        links: false,
    };
    match flags.subcommand {
        WisteriaLoadCmd::Demo(run) => {
            let fleet = Fleet::start(options(run.example, "demo")).await?;
            demo::run(&fleet, run.serve).await?;
            Ok(true)
        }
        WisteriaLoadCmd::Mixed(run) => {
            let fleet = Fleet::start(options(run.example, "mixed")).await?;
            mixed::run(&fleet, run.requests.unwrap_or(10_000), seed).await
        }
        WisteriaLoadCmd::Added(run) => {
            let fleet = Fleet::start(options(run.example, "added")).await?;
            let time = Duration::from_secs(run.seconds.unwrap_or(20));
            added::run(&fleet, run.rate.unwrap_or(400.0), time).await?;
            Ok(true)
        }
        WisteriaLoadCmd::Soak(run) => {
            let mut fleet = Fleet::start(options(run.example, "soak")).await?;
            soak::run(&mut fleet, run.orders.unwrap_or(100_000), seed).await
        }
        WisteriaLoadCmd::Edits(run) => {
            let fleet = Fleet::start(options(run.example, "edits")).await?;
            edits::run(&fleet, run.edits.unwrap_or(100)).await?;
            Ok(true)
        }
        WisteriaLoadCmd::Alarms(run) => {
            alarms::run(run.hours.unwrap_or(1000.0), seed);
            Ok(true)
        }
        WisteriaLoadCmd::Slopes(run) => {
            slopes::run(&run.example, &out).await?;
            Ok(true)
        }
        WisteriaLoadCmd::Experiment(run) => {
            let plan = Plan::read(&run.file)?;
            let policies = run.compare.unwrap_or_else(|| "naive,ours".to_owned());
            let mut reports = Vec::new();
            for policy in policies.split(',') {
                reports.push(experiment::run(&plan, policy == "naive", &out).await?);
            }
            println!("{}", experiment::compare(&reports));
            Ok(true)
        }
    }
}
