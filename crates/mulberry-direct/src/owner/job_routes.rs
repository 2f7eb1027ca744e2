//! The routes to which batch jobs belong.

use mulberry_policy::job_log::JobLog;
use mulberry_protocol::route::Configuration;
use mulberry_protocol::route::Route;

/// Returns the route to which a job's items belong now, if there is one.
pub(crate) fn route_of<'a>(configuration: &'a Configuration, log: &JobLog) -> Option<&'a Route> {
    configuration.route_of_job(&log.route, &log.host, log.path()).map(|route| &**route)
}
