//! `job list`: lists all jobs or those of one client, latest first.

use mulberry_platform::store::parse_json;
use mulberry_policy::store_budget::CallClass;
use mulberry_protocol::job::Job;
use mulberry_protocol::object_key;

use super::require_job_right;
use crate::context::CtlContext;
use crate::error::CtlError;
use crate::output::new_table;
use crate::output::print_result;

/// Prints the jobs of `client`, or all jobs if it is `None`.
pub(crate) async fn run(cx: &CtlContext, client: Option<&str>) -> Result<(), CtlError> {
    require_job_right(cx).await?;
    let (objects, _) = cx.store.list_all(CallClass::Listing, object_key::JOBS, true).await?;
    let jobs: Result<Vec<Job>, _> = objects.iter().map(parse_json).collect();
    let mut jobs = jobs?;
    jobs.retain(|j| client.is_none_or(|c| j.client.as_str() == c));
    jobs.sort_by_key(|j| std::cmp::Reverse(j.created_at_s));
    print_result(cx.json, &jobs, |jobs| {
        let header = ["job", "client", "state", "items", "completed", "failed", "due (Unix s)"];
        let mut table = new_table(&header);
        for j in jobs {
            table.add_row([
                j.id.to_string(),
                j.client.to_string(),
                format!("{:?}", j.state).to_lowercase(),
                j.items.to_string(),
                j.completed.to_string(),
                j.failed.to_string(),
                j.due_at_s.to_string(),
            ]);
        }
        table.to_string()
    });
    Ok(())
}
