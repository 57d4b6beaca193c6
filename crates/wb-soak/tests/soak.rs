//! A short soak with fixed seeds; seeds that ever failed stay here, with a line on the cause.

use std::path::PathBuf;
use std::time::Duration;

use wb_soak::world::Options;

macro_rules! soaks {
    ($($name:ident: $seed:expr;)+) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(stringify!($name));
            let options = Options { out: folder, seed: $seed, daemons: 4, servers: 4 };
            let report = wb_soak::run(options, Duration::from_secs(6)).await;
            let report = report.expect("the fleet starts");
            assert!(report.broken.is_empty(), "{report}");
        })+
    };
}

soaks! {
    seed_1: 1;
}
