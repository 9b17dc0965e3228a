//! State that all requests of hosted routes at one box share.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::budget::RetryBudgets;
use super::protocol::RunnerProtocol;
use super::recent::RecentServices;
use super::request::HostedRequest;
use super::run_times::RunTimes;
use crate::dispatch::Refusal;
use crate::entry::EntryCx;
use crate::ids::{FailureDomainName, RegionName};

/// Retry delay if the regions of route and workspace leave no failure domain: configurations
/// change a few times an hour.
const NO_REGION_RETRY: Duration = Duration::from_secs(30);

/// State shared by all requests of hosted routes at one box.
pub struct Relay {
    /// Context of the entry box.
    pub cx: Rc<EntryCx>,
    /// Protocol of the upstreams.
    pub protocol: RunnerProtocol,
    /// Retry budgets, by service.
    pub budgets: RefCell<RetryBudgets>,
    /// Run times of requests whose responses were buffered.
    pub run_times: RefCell<RunTimes>,
    /// Services whose streams recently ended with their connections.
    pub open_streams: RefCell<RecentServices>,
}

impl Relay {
    /// Returns the failure domains whose upstreams may run a request; an empty list means all.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the regions of its route and its workspace leave no failure domain.
    pub fn domains_for(&self, req: &HostedRequest) -> Result<Vec<FailureDomainName>, Refusal> {
        let (of_route, of_workspace) = (&req.route.regions, &req.regions);
        let allowed: Vec<RegionName> = match (of_route.is_empty(), of_workspace.is_empty()) {
            (true, true) => return Ok(Vec::new()),
            (true, false) => of_workspace.clone(),
            (false, true) => of_route.clone(),
            (false, false) => {
                of_route.iter().filter(|region| of_workspace.contains(region)).cloned().collect()
            }
        };
        let domains = self.cx.domains_in_regions(&allowed);
        if domains.is_empty() {
            let cause = "no failure domain lies in a region that the request may run in";
            return Err(Refusal::new(cause, NO_REGION_RETRY));
        }
        Ok(domains)
    }
}
