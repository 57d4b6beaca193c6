//! Scripted scenarios on real processes: the files in `scenarios/processes`.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;

use datadriven::TestCase;
use datadriven::TestFile;
use datadriven::walk;
use wb_load::scenario::Arguments;
use wb_load::scenario::Scenario;

/// All scenarios use the same ports: one runs at a time.
static PORTS: Mutex<()> = Mutex::new(());

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn step(case: &TestCase, scenario: &mut Scenario, runtime: &tokio::runtime::Runtime) -> String {
    let arguments = Arguments::new(case.args.clone());
    match runtime.block_on(scenario.step(&case.directive, &arguments)) {
        Ok(text) if text.is_empty() => "ok\n".to_owned(),
        Ok(text) => format!("{text}\n"),
        Err(err) => format!("error: {err:#}\n"),
    }
}

fn run(file: &mut TestFile, out: PathBuf) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let example = root().join("examples/association");
    let mut scenario = Scenario::new(example, out);
    file.run(|case| {
        let _guard = runtime.enter();
        step(case, &mut scenario, &runtime)
    });
}

/// Plays a file; the logs of its processes are removed only if every step gave what was expected.
fn play(name: &str) {
    let _one = PORTS
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let path = root().join("scenarios/processes").join(name);
    let out = std::env::temp_dir().join(format!("wisteria-{}-{name}", std::process::id()));
    println!("logs of {name}: {}", out.display());
    walk(&path.display().to_string(), |file| run(file, out.clone()));
    std::fs::remove_dir_all(&out).expect("the logs of a test that passed are removable");
}

/// Names a test for each scenario file.
macro_rules! scenarios {
    ($($name:ident: $file:literal,)*) => {
        $(
            #[test]
            fn $name() {
                play($file);
            }
        )*
    };
}

scenarios! {
    at_most_once: "at-most-once.txt",
    graceful_shutdown: "graceful.txt",
    long_upload: "long-upload.txt",
    leaving_server: "leaving.txt",
    one_way_link: "one-way.txt",
    queued_upload: "queued-upload.txt",
    table_edits: "table.txt",
    whole_answer: "whole-answer.txt",
}
