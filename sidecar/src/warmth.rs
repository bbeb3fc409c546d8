//! Applies what is known of the warmth of the target beside the node to its queue.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuestack_core::{ClockSpan, ClockTime};
use fescuestack_http::{BufferedRequest, lock, within};
use fescuestack_platform::decode_cold_time;
use fescuestack_platform::headers::NOT_EXECUTED;
use fescuestack_routing::{ColdCause, ColdTracker, SlotQueue, TargetListing, WarmupRule};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method};

use crate::down::confirm_outage;
use crate::note::CallNote;
use crate::target::LocalTarget;

/// Longest time that a health check waits for a slot and for its answer.
const PROBE_TIMEOUT: ClockSpan = ClockSpan::new(2_000);

/// Route of health checks at the queue.
const PROBE_ROUTE: &str = "health";

/// What is known of the warmth of the target beside the node.
pub(crate) struct TargetWarmth {
    tracker: ColdTracker,
    /// Ratio of the calls that a cold target may get in a second to the rate that it accepts.
    factor: f64,
    /// Whether this node has a configuration. Without one it takes the rule from other nodes.
    is_configured: bool,
    /// Cause that was last logged.
    logged: Option<ColdCause>,
}

impl TargetWarmth {
    pub(crate) fn new(now: ClockTime) -> TargetWarmth {
        TargetWarmth {
            tracker: ColdTracker::new(now),
            factor: 1.0,
            is_configured: false,
            logged: None,
        }
    }

    /// Whether targets of the service have to warm up.
    pub(crate) fn has_rule(&self) -> bool {
        self.tracker.rule().is_some()
    }

    /// Returns the time for which the target is expected to stay cold.
    pub(crate) fn time_left(&self, now: ClockTime) -> ClockSpan {
        self.tracker.time_left(now)
    }

    /// Sets the rule that another node knows, until this node has a configuration.
    pub(crate) fn learn_rule(&mut self, now: ClockTime, rule: &WarmupRule, queue: &mut SlotQueue) {
        if !self.is_configured && !self.has_rule() {
            self.tracker.set_rule(Some(rule.clone()));
            self.apply(now, queue);
        }
    }

    pub(crate) fn record_listing(
        &mut self,
        now: ClockTime,
        listing: &TargetListing,
        queue: &mut SlotQueue,
    ) {
        self.tracker.record_listing(now, listing);
        self.apply(now, queue);
    }

    /// Records that another target answered at the address.
    pub(crate) fn record_replacement(&mut self, now: ClockTime, queue: &mut SlotQueue) {
        self.tracker.record_doubt(now, ColdCause::Replacement);
        self.apply(now, queue);
    }

    /// Records that the evacuation of the target's data centre has ended.
    pub(crate) fn record_evacuation_end(&mut self, now: ClockTime, queue: &mut SlotQueue) {
        self.tracker.record_doubt(now, ColdCause::EvacuationEnd);
        self.apply(now, queue);
    }

    /// Records whether a connection to the target could be opened.
    pub(crate) fn record_connection(
        &mut self,
        now: ClockTime,
        opened: bool,
        queue: &mut SlotQueue,
    ) {
        match opened {
            true => self.tracker.record_connected(now),
            false => self.tracker.record_down(now),
        }
        self.apply(now, queue);
    }

    /// Records that the target closed all idle connections ahead of time.
    pub(crate) fn record_suspicion(&mut self, now: ClockTime) {
        self.tracker.record_suspicion(now);
    }

    /// Records what the headers of a response to a request sent at `asked_at` state. Returns whether
    /// they state anything.
    pub(crate) fn record_headers(
        &mut self,
        asked_at: ClockTime,
        now: ClockTime,
        headers: &HeaderMap,
        queue: &mut SlotQueue,
    ) -> bool {
        if !self.has_rule() {
            return false;
        }
        match decode_cold_time(headers) {
            Ok(Some(left)) => {
                self.tracker.record_statement(asked_at, now, left);
                self.apply(now, queue);
                true
            }
            Ok(None) => false,
            Err(err) => {
                log::info!("ignoring the cold time that the target states: {err}");
                false
            }
        }
    }

    /// Records that a request sent at `asked_at` found the target warm.
    fn record_warm(&mut self, asked_at: ClockTime, now: ClockTime, queue: &mut SlotQueue) {
        self.tracker.record_statement(asked_at, now, ClockSpan::ZERO);
        self.apply(now, queue);
    }

    /// Sets the limit of the queue, and logs a change.
    pub(crate) fn apply(&mut self, now: ClockTime, queue: &mut SlotQueue) {
        queue.set_cold_limit(now, self.tracker.limit(now, self.factor));
        let cause = self.tracker.cause(now);
        if cause == self.logged {
            return;
        }
        self.logged = cause;
        match cause {
            Some(cause) => log::info!(cause = cause.label(),
                left_ms = self.tracker.time_left(now).millis(), until = (now + self.tracker.time_left(now)).millis();
                "target counts as cold"),
            None => log::info!("target counts as warm"),
        }
    }
}

impl LocalTarget {
    /// Sets how targets of the service warm up according to the configuration, and the ratio of the
    /// calls that a cold one may get in a second to the rate that it accepts.
    pub(crate) fn set_warmup(&self, rule: Option<WarmupRule>, factor: f64) {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        let (warmth, queue) = state.warmth_and_queue();
        warmth.is_configured = true;
        warmth.factor = factor;
        warmth.tracker.set_rule(rule);
        warmth.apply(now, queue);
    }

    /// Returns the time for which the target is expected to stay cold.
    pub(crate) fn cold_time_left(&self) -> ClockSpan {
        lock(&self.state).warmth.time_left(self.clock.now())
    }

    /// Starts a health check if the target may be cold and it is not known for how long.
    pub(crate) fn probe_if_wanted(self: &Arc<Self>) {
        let now = self.clock.now();
        let path = {
            let mut state = lock(&self.state);
            if state.evacuated {
                return;
            }
            let tracker = &mut state.warmth.tracker;
            if !tracker.wants_probe(now) || !self.stop.allows(now + PROBE_TIMEOUT) {
                return;
            }
            tracker.begin_probe(now);
            tracker.rule().map(|rule| rule.health_path.clone()).unwrap_or_default()
        };
        let local_target = self.clone();
        async_std::task::spawn(async move {
            let answered = local_target.probe(&path).await;
            let now = local_target.clock.now();
            lock(&local_target.state).warmth.tracker.end_probe(now, answered);
        });
    }

    /// Asks the target for how long it stays cold, in a slot like any call. Returns whether it has
    /// answered.
    async fn probe(self: &Arc<Self>, path: &str) -> bool {
        let timeout = PROBE_TIMEOUT.millis();
        let note = CallNote {
            target: "".into(),
            slots: lock(&self.state).queue.slots(),
            route: PROBE_ROUTE.into(),
            rank: 0,
            idempotent: true,
            left: timeout,
            aim_left: timeout,
            wait_limit: timeout,
            body_bytes: 0,
            rate_limit: None,
            warmup: None,
            from_run: false,
        };
        let Ok(ticket) = self.acquire_slot(self.clock.now(), &note).await else {
            log::info!("no slot for a health check of the target");
            return false;
        };
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static("localhost"));
        let request = BufferedRequest {
            method: Method::GET,
            target: path.to_owned(),
            headers,
            body: Bytes::new(),
        };
        let timeout = Duration::from_millis(timeout);
        let result = within(timeout, self.exchange_once(&ticket, true, &request, None)).await;
        let (asked_at, response, _) = match result {
            Some(Ok(answer)) => answer,
            Some(Err(err)) => {
                log::info!(reason = err.to_string().as_str(); "health check of the target failed");
                if let Some((id, _)) = self.listed() {
                    confirm_outage(self, &id).await;
                }
                return false;
            }
            None => {
                log::info!(reason = "no answer in time"; "health check of the target failed");
                return false;
            }
        };
        let mut state = lock(&self.state);
        let now = self.clock.now();
        let (warmth, queue) = state.warmth_and_queue();
        let mut stated = warmth.record_headers(asked_at, now, &response.headers, queue);
        if !stated && response.status.is_success() && warmth.has_rule() {
            // A healthy target that is warm states no time.
            warmth.record_warm(asked_at, now, queue);
            stated = true;
        }
        log::info!(status = response.status.as_u16(), stated = stated,
            left_ms = warmth.time_left(now).millis(); "health check of the target");
        state.poll(now);
        stated || !response.headers.contains_key(&NOT_EXECUTED)
    }
}
