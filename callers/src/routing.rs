//! Which service, route and caller class a call has.

use std::sync::Arc;

use fescuestack_core::{
    CallerClass, ClockSpan, ConfigSnapshot, ResultCode, RouteRule, ServiceView, TenantView,
    scan_left,
};
use http_types::Request;

use crate::headers::{CALLER_HEADER, LEFT_HEADER, value};
use crate::record::CallSide;
use fescuestack_http::wall_time;

/// Service and route of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallRoute<'a> {
    pub(crate) service: &'a Arc<ServiceView>,
    pub(crate) rule: &'a RouteRule,
}

impl<'a> CallRoute<'a> {
    /// Finds the route by host, method and path. Fails with 203 or 204.
    pub(crate) fn find(
        snapshot: &'a ConfigSnapshot,
        request: &Request,
    ) -> Result<CallRoute<'a>, ResultCode> {
        let host = request.url().host_str().unwrap_or_default();
        let service = snapshot.service(host).ok_or(ResultCode::ServiceGone)?;
        let rule = service
            .route(request.method().as_ref(), request.url().path())
            .ok_or(ResultCode::NoRoute)?;
        Ok(CallRoute { service, rule })
    }

    /// Name of the service.
    pub(crate) fn name(&self) -> &'a str {
        &self.service.part.service
    }

    /// Finds the class of the caller and how long it waits now. Fails with 202, 203, 205 or 210.
    pub(crate) fn class(
        &self,
        snapshot: &'a ConfigSnapshot,
        side: CallSide,
        request: &'a Request,
    ) -> Result<(&'a str, ClockSpan), ResultCode> {
        let label = match value(request, CALLER_HEADER) {
            Some(label) => label,
            None => self.default_class(snapshot, side).ok_or(ResultCode::NoRoute)?,
        };
        let (tenant, class) = snapshot.class(label).ok_or(ResultCode::BadRequest)?;
        if side == CallSide::Caller && (self.rule.internal_only || class.internal) {
            return Err(ResultCode::InternalOnly);
        }
        if !self.rule.classes.iter().any(|allowed| allowed == label) {
            return Err(ResultCode::NoRoute);
        }
        let patience = patience(tenant, class)?;
        let inherited = match side {
            // An upstream may pass on the time that is left for the call it works on.
            CallSide::Local => value(request, LEFT_HEADER).and_then(scan_left),
            CallSide::Caller | CallSide::Relay => None,
        };
        Ok((label, inherited.map_or(patience, |left| left.min(patience))))
    }

    /// The first class of the route that belongs to this side, or else its first one.
    fn default_class(&self, snapshot: &ConfigSnapshot, side: CallSide) -> Option<&'a str> {
        let internal = side != CallSide::Caller;
        let fits = |label: &&String| {
            snapshot.class(label).is_some_and(|(_, class)| class.internal == internal)
        };
        let classes = &self.rule.classes;
        classes.iter().find(fits).or(classes.first()).map(String::as_str)
    }
}

fn patience(tenant: &TenantView, class: &CallerClass) -> Result<ClockSpan, ResultCode> {
    class.patience(tenant.zone, wall_time()).ok_or(ResultCode::PatienceSpent)
}
