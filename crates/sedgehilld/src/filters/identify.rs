//! Identifies the organisation, service and kind of a raw request, and checks it into a [`RequestContext`].

use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Request};
use sedgehill_core::ids::{IdempotencyKey, KindName, OrgName, RequestId, TemplateName};
use sedgehill_core::spec::{KindShape, OrgParameters};
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_platform::admin::BoxHealth;

use super::outcome::{NotRunReason, RequestOutcome};
use crate::call_body::{self, BodyError};
use crate::client::CallMemory;
use crate::clock;
use crate::controllers::ControlHandle;
use crate::shared::{SharedState, TrafficView};

/// Header that carries the idempotency key of a once-only request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header in which a caller says how long it waits for an answer, such as `2s`.
pub const DEADLINE_HEADER: &str = "sedgehill-deadline";

/// How long a request waits for the controllers to refresh the state of a box that resumes after a pause.
const MAX_FRESHNESS_WAIT: TimeSpan = TimeSpan(5_000);

/// A checked request with its complete body.
#[derive(Debug)]
pub struct RequestContext {
    /// Id that this box assigned to the request.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: TemplateName,
    /// Parameters of the organisation for the service.
    pub parameters: Arc<OrgParameters>,
    /// Kind of the request.
    pub kind: KindShape,
    /// Idempotency key, if the request has one.
    pub key: Option<IdempotencyKey>,
    /// When the request arrived.
    pub arrived: Moment,
    /// When the request is refused if it still waits for an endpoint.
    pub deadline: Moment,
    /// HTTP method.
    pub method: Method,
    /// Path and query to send to the endpoint.
    pub target: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Memory of the body, and of the answer while it is read.
    pub memory: CallMemory,
}

/// Returns the organisation and idempotency key of a request, if both are readable.
pub fn find_key(request: &Request<Incoming>) -> Option<(OrgName, IdempotencyKey)> {
    let path = RequestPath::parse(request.uri().path())?;
    let key = parse_header::<IdempotencyKey>(request.headers(), KEY_HEADER).ok()??;
    Some((path.organisation, key))
}

/// Reads a request that arrived at `arrived` and checks it against the current configuration.
pub async fn identify(
    shared: &SharedState,
    handle: &ControlHandle,
    id: RequestId,
    arrived: Moment,
    request: Request<Incoming>,
    mut memory: CallMemory,
) -> Result<RequestContext, RequestOutcome> {
    wait_until_fresh(shared, arrived).await;
    if shared.health.load().health == BoxHealth::NotReady {
        return Err(RequestOutcome::NotRun(NotRunReason::NotReady));
    }
    let (parts, body) = request.into_parts();
    let path =
        RequestPath::parse(parts.uri.path()).ok_or_else(|| not_run(NotRunReason::BadPath))?;
    let (kind, parameters) = find_kind(shared, handle, &path, arrived).await?;
    let key = parse_header::<IdempotencyKey>(&parts.headers, KEY_HEADER)?;
    if kind.once_only && key.is_none() {
        return Err(not_run(NotRunReason::KeyMissing));
    }
    let timeout =
        parse_header::<TimeSpan>(&parts.headers, DEADLINE_HEADER)?.unwrap_or(kind.timeout);
    let body = read_body(shared, body, &mut memory).await?;
    Ok(RequestContext {
        id,
        service: path.service,
        parameters,
        kind,
        key,
        arrived,
        deadline: arrived.after(timeout),
        method: parts.method,
        target: path.target
            + &parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default(),
        headers: parts.headers,
        body,
        memory,
    })
}

/// Finds the kind and the parameters for a path. If the view lacks them, a newer configuration may have them, so a
/// request is refused only once the view is as new as the request.
async fn find_kind(
    shared: &SharedState,
    handle: &ControlHandle,
    path: &RequestPath,
    arrived: Moment,
) -> Result<(KindShape, Arc<OrgParameters>), RequestOutcome> {
    if let Ok(kind_and_parameters) = path.find(&shared.view.load_full()) {
        return Ok(kind_and_parameters);
    }
    if shared.current_as_of() < arrived && !handle.refresh_view(arrived).await {
        return Err(not_run(NotRunReason::ViewNotCurrent));
    }
    wait_until_fresh(shared, arrived).await;
    path.find(&shared.view.load_full()).map_err(not_run)
}

/// Delays a request after a pause of the process until the controllers have refreshed their state, for at most
/// [`MAX_FRESHNESS_WAIT`].
async fn wait_until_fresh(shared: &SharedState, arrived: Moment) {
    const POLL_INTERVAL: Duration = Duration::from_millis(10);
    while !shared.is_fresh(clock::now()) && clock::now().since(arrived) < MAX_FRESHNESS_WAIT {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn not_run(reason: NotRunReason) -> RequestOutcome {
    RequestOutcome::NotRun(reason)
}

/// The parts of the path `/ORGANISATION/SERVICE/KIND[/REST]`.
struct RequestPath {
    organisation: OrgName,
    service: TemplateName,
    kind: KindName,
    // Path for the endpoint: `/KIND[/REST]`.
    target: String,
}

impl RequestPath {
    fn parse(path: &str) -> Option<RequestPath> {
        let mut parts = path.strip_prefix('/')?.splitn(3, '/');
        let organisation = parts.next()?.parse().ok()?;
        let service = parts.next()?.parse().ok()?;
        let tail = parts.next()?;
        let kind = tail.split('/').next()?.parse().ok()?;
        Some(RequestPath { organisation, service, kind, target: format!("/{tail}") })
    }

    fn find(&self, view: &TrafficView) -> Result<(KindShape, Arc<OrgParameters>), NotRunReason> {
        let shape = view.services.get(&self.service).ok_or(NotRunReason::NoSuchService)?;
        let kind = shape.kinds.get(&self.kind).ok_or(NotRunReason::NoSuchService)?;
        let key = (self.organisation.clone(), self.service.clone());
        let parameters = view.parameters.get(&key).ok_or(NotRunReason::NoParameters)?;
        Ok((kind.clone(), parameters.clone()))
    }
}

/// Parses a header that may be absent. A header that occurs twice is refused.
fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, RequestOutcome> {
    let mut values = headers.get_all(HeaderName::from_static(name)).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match (parsed, values.next()) {
        (Some(parsed), None) => Ok(Some(parsed)),
        _ => Err(not_run(NotRunReason::BadHeader)),
    }
}

/// Reads the complete body. This happens before a slot is reserved, so that a slow caller occupies no endpoint.
async fn read_body(
    shared: &SharedState,
    body: Incoming,
    memory: &mut CallMemory,
) -> Result<Bytes, RequestOutcome> {
    let limits = &shared.settings.limits;
    let timeout = Duration::from_millis(limits.receive_timeout.as_millis());
    let body = call_body::read_body(body, limits.max_body.0 as usize, timeout, memory).await;
    body.map_err(|error| match error {
        BodyError::TooLarge => not_run(NotRunReason::BodyTooLarge),
        BodyError::Incomplete => not_run(NotRunReason::BodyIncomplete),
        BodyError::NoMemory => not_run(NotRunReason::NoMemory),
    })
}
