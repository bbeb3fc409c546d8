//! Balancers and retry budgets by service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use fescuestack_core::{
    ClockSpan, ClockTime, ConfigSnapshot, NodeName, PlanStep, RequestPlan, RetryBudget,
    ServiceView, TargetBalancer, TargetEntry, TargetLiveness, VersionId,
};
use fescuestack_http::lock;

/// The balancers of the services that this node has called.
#[derive(Debug)]
pub(crate) struct BalancerTable {
    data_centre: Arc<str>,
    seed: u64,
    services: Mutex<HashMap<Arc<str>, Arc<ServiceBalancer>>>,
    /// Targets that are not alive.
    liveness: Mutex<HashMap<NodeName, TargetLiveness>>,
}

impl BalancerTable {
    pub(crate) fn new(data_centre: Arc<str>, seed: u64) -> BalancerTable {
        let (services, liveness) = (Mutex::default(), Mutex::default());
        BalancerTable { data_centre, seed, services, liveness }
    }

    /// The balancer of a service, with the targets of `snapshot` or of a newer version.
    pub(crate) fn service(
        &self,
        now: ClockTime,
        snapshot: &ConfigSnapshot,
        view: &Arc<ServiceView>,
    ) -> Arc<ServiceBalancer> {
        let known = lock(&self.services).get(view.part.service.as_str()).cloned();
        let balancer = match known {
            Some(balancer) => balancer,
            None => self.create(now, snapshot, view),
        };
        lock(&balancer.state).update(now, snapshot.version(), view, &self.liveness);
        balancer
    }

    fn create(
        &self,
        now: ClockTime,
        snapshot: &ConfigSnapshot,
        view: &Arc<ServiceView>,
    ) -> Arc<ServiceBalancer> {
        let name: Arc<str> = view.part.service.as_str().into();
        let delay = ClockSpan::new(snapshot.fleet().link_delay_ms);
        let mut balancer = TargetBalancer::new(view, self.data_centre.clone(), delay, self.seed);
        let mut services = lock(&self.services);
        for (target, liveness) in lock(&self.liveness).iter() {
            balancer.set_liveness(now, target, *liveness);
        }
        let state = BalancerState {
            balancer,
            budget: RetryBudget::new(),
            view: view.clone(),
            version: snapshot.version(),
        };
        let created = Arc::new(ServiceBalancer { state: Mutex::new(state) });
        services.entry(name).or_insert(created).clone()
    }

    /// Notes what membership knows of a target.
    pub(crate) fn set_liveness(&self, now: ClockTime, name: &str, liveness: TargetLiveness) {
        let services = lock(&self.services);
        let mut known = lock(&self.liveness);
        match liveness {
            TargetLiveness::Alive => known.remove(name),
            other => known.insert(name.into(), other),
        };
        drop(known);
        for service in services.values() {
            lock(&service.state).balancer.set_liveness(now, name, liveness);
        }
    }

    /// Forgets services that a new version does not have.
    pub(crate) fn retain(&self, snapshot: &ConfigSnapshot) {
        lock(&self.services).retain(|name, _| snapshot.service(name).is_some());
    }
}

/// The balancer and the retry budget of a service.
#[derive(Debug)]
pub(crate) struct ServiceBalancer {
    state: Mutex<BalancerState>,
}

#[derive(Debug)]
struct BalancerState {
    balancer: TargetBalancer,
    budget: RetryBudget,
    view: Arc<ServiceView>,
    version: VersionId,
}

impl ServiceBalancer {
    /// Takes a step of a plan, and looks up where the chosen target is.
    pub(crate) fn step(
        &self,
        take: impl FnOnce(&ServiceView, &mut TargetBalancer, &mut RetryBudget) -> PlanStep,
    ) -> (PlanStep, Option<TargetEntry>) {
        let mut state = lock(&self.state);
        let BalancerState { balancer, budget, view, .. } = &mut *state;
        let step = take(view, balancer, budget);
        let entry = match &step {
            PlanStep::Dispatch { target, .. } => find_target(view, &target.name).cloned(),
            PlanStep::Answer(_) => None,
        };
        (step, entry)
    }

    /// Ends the plan of a call whose caller has gone.
    pub(crate) fn abandon(&self, now: ClockTime, plan: &mut RequestPlan) {
        plan.abandon(now, &mut lock(&self.state).balancer);
    }
}

impl BalancerState {
    fn update(
        &mut self,
        now: ClockTime,
        version: VersionId,
        view: &Arc<ServiceView>,
        liveness: &Mutex<HashMap<NodeName, TargetLiveness>>,
    ) {
        // Calls that hold an older version do not bring its targets back.
        if version <= self.version {
            return;
        }
        self.version = version;
        if !Arc::ptr_eq(&self.view, view) {
            self.view = view.clone();
            self.balancer.update(now, view);
            // A target may have been known as dead before the service had it.
            for (target, liveness) in lock(liveness).iter() {
                self.balancer.set_liveness(now, target, *liveness);
            }
        }
    }
}

/// The target called `name`. Targets are ordered by name.
pub(crate) fn find_target<'a>(view: &'a ServiceView, name: &str) -> Option<&'a TargetEntry> {
    let index = view.targets.binary_search_by(|target| target.name.as_ref().cmp(name)).ok()?;
    view.targets.get(index)
}
