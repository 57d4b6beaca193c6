//! Randomized soak of the gateway daemon as real processes.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use wb_soak::world::Options;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs real gateway daemons under random faults and checks what callers were promised.
        cmd wisteria-soak {
            /// First seed; drawn if not given.
            optional --seed seed: u64
            /// Seeds, one after another; 1 if not given.
            optional --seeds count: u64
            /// Seconds of faults for each seed; 15 if not given.
            optional --seconds seconds: u64
            /// Daemons; 6 if not given.
            optional --daemons count: usize
            /// Backend servers of each service; 5 if not given.
            optional --servers count: usize
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
    let time = Duration::from_secs(flags.seconds.unwrap_or(15));
    let out = flags.out.unwrap_or_else(|| PathBuf::from("out/soak"));
    let mut good = true;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let options = Options {
            out: out.join(seed.to_string()),
            seed,
            daemons: flags.daemons.unwrap_or(6),
            servers: flags.servers.unwrap_or(5),
        };
        match wb_soak::run(options, time).await {
            Ok(report) => {
                good &= report.broken.is_empty();
                println!("{report}");
            }
            Err(err) => {
                good = false;
                println!("seed {seed}: {err:#}");
            }
        }
    }
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
