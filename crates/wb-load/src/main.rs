//! Command line of the load generator and experiment runner.

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
            /// Folder for settings, logs and results; default `out`.
            optional --out folder: PathBuf
            /// Number of entry processes; default 6.
            optional --entries count: usize
            /// Homes of each service in each failure domain; default 1.
            optional --homes count: usize
            /// Seed of the random choices; default 1.
            optional --seed seed: u64
            /// Starts a fleet, sends a few requests and prints their outcomes.
            cmd demo {
                required example: PathBuf
                /// Keeps the fleet running until the program is stopped.
                optional --serve
            }
            /// Sends lookups, orders and uploads and verifies every response.
            cmd mixed {
                required example: PathBuf
                /// Number of requests; default 10000.
                optional --requests count: usize
            }
            /// Compares latency through the fleet with direct requests to the backend servers.
            cmd added {
                required example: PathBuf
                /// Requests per second; default 400.
                optional --rate rate: f64
                /// Duration in seconds; default 20.
                optional --seconds seconds: u64
            }
            /// Sends orders while processes are killed or paused and the platform fails.
            cmd soak {
                required example: PathBuf
                /// Number of orders; default 100000.
                optional --orders count: usize
            }
            /// Measures the time until an accepted edit is in force at all instances.
            cmd edits {
                required example: PathBuf
                /// Number of edits; default 100.
                optional --edits count: usize
            }
            /// Simulates false ejections and detection times on virtual time.
            cmd alarms {
                /// Simulated server-hours; default 1000.
                optional --hours hours: f64
            }
            /// Measures the cost of state, messages and decisions at several sizes.
            cmd slopes {
                required example: PathBuf
            }
            /// Runs an experiment file.
            cmd experiment {
                required file: PathBuf
                /// Policies to run one after another: `ours`, `naive` or, by default, `naive,ours`.
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
            let duration = Duration::from_secs(run.seconds.unwrap_or(20));
            added::run(&fleet, run.rate.unwrap_or(400.0), duration).await?;
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
