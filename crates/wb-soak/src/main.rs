//! Command-line tool of the randomized soak test.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use wb_soak::testbed::Options;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs real gateway processes under random faults and checks the fleet's guarantees.
        cmd wisteria-soak {
            /// First seed; random if not given.
            optional --seed seed: u64
            /// Number of consecutive seeds to run; 1 if not given.
            optional --seeds count: u64
            /// Seconds of fault injection per seed; 15 if not given.
            optional --seconds seconds: u64
            /// Number of gateway instances; 6 if not given.
            optional --daemons count: usize
            /// Number of backend servers of each service; 5 if not given.
            optional --servers count: usize
            /// Plays planned work alone, without faults.
            optional --planned
            /// Names teams in the configuration; callers send their keys.
            optional --teams
            /// Adds callers that leave before most of their requests are answered.
            optional --leavers
            /// Folder for settings and logs; `out/soak` if not given.
            optional --out folder: PathBuf
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::WisteriaSoak::from_env_or_exit();
    let first = flags
        .seed
        .unwrap_or_else(|| rand::random_range(0..1_000_000));
    let duration = Duration::from_secs(flags.seconds.unwrap_or(15));
    let out = flags.out.unwrap_or_else(|| PathBuf::from("out/soak"));
    let mut passed = true;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let options = Options {
            out: out.join(seed.to_string()),
            seed,
            instances: flags.daemons.unwrap_or(6),
            servers: flags.servers.unwrap_or(5),
            planned: flags.planned,
            teams: flags.teams,
            leavers: flags.leavers,
        };
        match wb_soak::run(options, duration).await {
            Ok(report) => {
                passed &= report.violations.is_empty();
                println!("{report}");
            }
            Err(err) => {
                passed = false;
                println!("seed {seed}: {err:#}");
            }
        }
    }
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
