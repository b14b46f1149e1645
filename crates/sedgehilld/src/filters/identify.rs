//! Who asks for what: from a raw request to a checked [`RequestContext`].

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Request};
use sedgehill_core::ids::{IdempotencyKey, KindName, OrgName, RequestId, TemplateName};
use sedgehill_core::spec::{KindShape, OrgParameters};
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_platform::admin::BoxHealth;

use super::outcome::{NotRunReason, RequestOutcome};
use crate::clock;
use crate::controllers::ControlHandle;
use crate::shared::{SharedState, TrafficView};

/// The header that carries the key of a once-only request.
pub const KEY_HEADER: &str = "idempotency-key";
/// The header in which a caller says how long it waits, such as `2s`.
pub const DEADLINE_HEADER: &str = "sedgehill-deadline";

/// How long a request is held at a box that woke from a pause.
const MAX_FRESHNESS_WAIT: TimeSpan = TimeSpan(5_000);

/// A request whose parts are known and checked.
#[derive(Debug)]
pub struct RequestContext {
    /// The request.
    pub id: RequestId,
    /// The service that it is for.
    pub service: TemplateName,
    /// What the organisation has filled in for the service.
    pub parameters: Arc<OrgParameters>,
    /// The kind of work.
    pub kind: KindShape,
    /// The key of a once-only request.
    pub key: Option<IdempotencyKey>,
    /// When it arrived.
    pub arrived: Moment,
    /// When it is given up if it still waits.
    pub deadline: Moment,
    /// Its method.
    pub method: Method,
    /// The path and query for the endpoint.
    pub target: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, whole.
    pub body: Bytes,
}

/// The key of a request and whose it is, if it has a readable one.
pub fn find_key(request: &Request<Incoming>) -> Option<(OrgName, IdempotencyKey)> {
    let path = RequestPath::parse(request.uri().path())?;
    let key = parse_header::<IdempotencyKey>(request.headers(), KEY_HEADER).ok()??;
    Some((path.organisation, key))
}

/// Reads a request that arrived at `arrived` and checks it against what is in force.
pub async fn identify(
    shared: &SharedState,
    handle: &ControlHandle,
    id: RequestId,
    arrived: Moment,
    request: Request<Incoming>,
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
    let patience =
        parse_header::<TimeSpan>(&parts.headers, DEADLINE_HEADER)?.unwrap_or(kind.timeout);
    let body = read_body(shared, body).await?;
    Ok(RequestContext {
        id,
        service: path.service,
        parameters,
        kind,
        key,
        arrived,
        deadline: arrived.after(patience),
        method: parts.method,
        target: path.target
            + &parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default(),
        headers: parts.headers,
        body,
    })
}

/// Finds what a path asks for. What this box lacks may be in force all the same, so it is refused only by a view that
/// is as new as the request.
async fn find_kind(
    shared: &SharedState,
    handle: &ControlHandle,
    path: &RequestPath,
    arrived: Moment,
) -> Result<(KindShape, Arc<OrgParameters>), RequestOutcome> {
    if let Ok(found) = path.find(&shared.view.load_full()) {
        return Ok(found);
    }
    if shared.current_as_of() < arrived && !handle.refresh_view(arrived).await {
        return Err(not_run(NotRunReason::ViewNotCurrent));
    }
    wait_until_fresh(shared, arrived).await;
    path.find(&shared.view.load_full()).map_err(not_run)
}

/// Holds a request that arrives at a box just woken from a pause, until its controllers have looked
/// at what changed meanwhile.
async fn wait_until_fresh(shared: &SharedState, arrived: Moment) {
    const POLL: Duration = Duration::from_millis(10);
    while !shared.is_fresh(clock::now()) && clock::now().since(arrived) < MAX_FRESHNESS_WAIT {
        tokio::time::sleep(POLL).await;
    }
}

fn not_run(reason: NotRunReason) -> RequestOutcome {
    RequestOutcome::NotRun(reason)
}

/// The parts of `/ORGANISATION/SERVICE/KIND[/REST]`.
struct RequestPath {
    organisation: OrgName,
    service: TemplateName,
    kind: KindName,
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
        let owner = (self.organisation.clone(), self.service.clone());
        let parameters = view.parameters.get(&owner).ok_or(NotRunReason::NoParameters)?;
        Ok((kind.clone(), parameters.clone()))
    }
}

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

/// Reads the whole body before anything else happens, so that a slow caller holds no endpoint.
async fn read_body(shared: &SharedState, body: Incoming) -> Result<Bytes, RequestOutcome> {
    let limits = &shared.settings.limits;
    let limited = Limited::new(body, limits.body.0 as usize);
    let time = Duration::from_millis(limits.receive.as_millis());
    match tokio::time::timeout(time, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(not_run(NotRunReason::BodyTooLarge))
        }
        Ok(Err(_)) | Err(_) => Err(not_run(NotRunReason::BodyIncomplete)),
    }
}
