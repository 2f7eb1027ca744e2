//! Runs the store client against the object API's stand-in. Each case file lists faults, calls and
//! the expected outcome of each call.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;

use mulberry_platform::error::PlatformError;
use mulberry_platform::object_http::HttpObjectApi;
use mulberry_platform::store::SharedBudget;
use mulberry_platform::store::Store;
use mulberry_platform::store::WriteOutcome;
use mulberry_policy::store_budget::CallClass;
use mulberry_policy::store_budget::StoreRates;
use mulberry_process::clock::SystemClock;
use mulberry_process::metrics::Metrics;
use mulberry_standin::object_api::ObjectApiFaults;
use mulberry_standin::object_api::SharedObjectApi;
use mulberry_standin::object_api::start_object_api;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Case {
    #[serde(default)]
    faults: ObjectApiFaults,
    #[serde(default)]
    token: Option<String>,
    steps: Vec<Step>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Step {
    call: String,
    #[serde(default)]
    key: String,
    #[serde(default)]
    value: String,
    /// Index of the step whose written version this call is conditional on.
    #[serde(default)]
    version_of: Option<usize>,
    expect: String,
    /// Whether the faults end before this call.
    #[serde(default)]
    heal: bool,
}

async fn run_step(store: &Store, step: &Step, versions: &mut Vec<u64>) -> String {
    let class = CallClass::Commit;
    let value = Bytes::from(step.value.clone());
    let version = step.version_of.and_then(|i| versions.get(i).copied()).unwrap_or(0);
    let mut written_version = 0;
    let mut describe_write = |end: WriteOutcome| match end {
        WriteOutcome::Written(version) => {
            written_version = version;
            "written".to_owned()
        }
        WriteOutcome::Conflict(Some(object)) => {
            format!("other {}", String::from_utf8_lossy(&object.value))
        }
        WriteOutcome::Conflict(None) => "other none".to_owned(),
    };
    let outcome: Result<String, PlatformError> = match step.call.as_str() {
        "create" => store.create(class, &step.key, value).await.map(&mut describe_write),
        "update" => store.update(class, &step.key, value, version).await.map(&mut describe_write),
        "delete" => store.delete(class, &step.key, version).await.map(|()| "deleted".to_owned()),
        "list" => store
            .list_all(class, &step.key, false)
            .await
            .map(|(objects, _)| format!("{} objects", objects.len())),
        "watch" => store
            .watch(&step.key, version, 50)
            .await
            .map(|batch| format!("{} events", batch.events.len())),
        _ => store.read(class, &step.key).await.map(|found| {
            found.map_or("none".to_owned(), |o| String::from_utf8_lossy(&o.value).into_owned())
        }),
    };
    versions.push(written_version);
    match outcome {
        Ok(text) => text,
        Err(PlatformError::NoAnswer { .. }) => "no answer".to_owned(),
        Err(PlatformError::RateLimited { .. }) => "rate refused".to_owned(),
        Err(PlatformError::BudgetSpent { .. }) => "budget spent".to_owned(),
        Err(PlatformError::Conflict { .. }) => "conflict".to_owned(),
        Err(PlatformError::Compacted) => "compacted".to_owned(),
        Err(PlatformError::Denied { .. }) => "denied".to_owned(),
        Err(other) => other.to_string(),
    }
}

async fn run_case(case: Case) -> Result<(), String> {
    let standin = SharedObjectApi::default();
    let listen = ([127, 0, 0, 1], 0).into();
    let server = start_object_api(listen, standin.clone(), Some("right".to_owned()))
        .map_err(|e| e.to_string())?;
    standin.set_faults(case.faults.clone());
    let token = case.token.clone().unwrap_or_else(|| "right".to_owned());
    let api = HttpObjectApi::new(&server.address.to_string(), Some(token));
    let rates = StoreRates { writes_per_s: 1e6, reads_per_s: 1e6 };
    let metrics = Metrics::new("test", None);
    let budget = SharedBudget::new(rates, Arc::new(SystemClock::default()), metrics);
    let store = Store::new(Rc::new(api), budget);
    let mut versions = Vec::new();
    for (index, step) in case.steps.iter().enumerate() {
        if step.heal {
            standin.set_faults(ObjectApiFaults::default());
        }
        let outcome = run_step(&store, step, &mut versions).await;
        if outcome != step.expect {
            return Err(format!("step {index}: expected `{}`, got `{outcome}`", step.expect));
        }
    }
    server.kill().await;
    Ok(())
}

fn check_case(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    Ok(actix_rt::System::new().block_on(run_case(case))?)
}

datatest_stable::harness! {
    { test = check_case, root = "tests/cases/store", pattern = r"\.toml$" },
}
