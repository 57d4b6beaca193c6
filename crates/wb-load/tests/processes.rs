//! Runs the scripted scenarios of `scenarios/processes` on real processes.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;

use datadriven::TestCase;
use datadriven::TestFile;
use datadriven::walk;
use wb_load::scenario::Arguments;
use wb_load::scenario::Scenario;

/// Serializes the scenarios, because all use the same ports.
static PORTS: Mutex<()> = Mutex::new(());

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn run_step(case: &TestCase, scenario: &mut Scenario, runtime: &tokio::runtime::Runtime) -> String {
    let arguments = Arguments::new(case.args.clone());
    match runtime.block_on(scenario.run_step(&case.directive, &arguments)) {
        Ok(text) if text.is_empty() => "ok\n".to_owned(),
        Ok(text) => format!("{text}\n"),
        Err(err) => format!("error: {err:#}\n"),
    }
}

fn run_steps(file: &mut TestFile, out: PathBuf) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let example = root().join("examples/association");
    let mut scenario = Scenario::new(example, out);
    file.run(|case| {
        let _guard = runtime.enter();
        run_step(case, &mut scenario, &runtime)
    });
}

/// Runs a scenario file. The logs of its processes are removed only if every step printed the
/// expected output.
fn run_file(name: &str) {
    let _guard = PORTS
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let path = root().join("scenarios/processes").join(name);
    let out = std::env::temp_dir().join(format!("wisteria-{}-{name}", std::process::id()));
    println!("logs of {name}: {}", out.display());
    walk(&path.display().to_string(), |file| {
        run_steps(file, out.clone())
    });
    std::fs::remove_dir_all(&out).expect("the logs of a test that passed are removable");
}

/// Defines a test for each scenario file.
macro_rules! scenarios {
    ($($name:ident: $file:literal,)*) => {
        $(
            #[test]
            fn $name() {
                run_file($file);
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
    refusal_of_an_earlier_request_is_believed: "repeated-refusal.txt",
    table_edits: "table.txt",
    whole_answer: "whole-answer.txt",
}
