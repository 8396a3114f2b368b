//! The resource API for operators, served on the same address as the requests of callers.

pub mod check;
mod edit;
mod item;
mod list;
mod observed;
pub mod problem;
mod watch;

use std::str::FromStr;

use azurepath_decide::resource::Kind;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use serde::Serialize;
use strum::IntoEnumIterator;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, any};
use volo_http::utils::Extension;

use crate::process::Process;
use crate::version;
use problem::Problem;

/// The collection that stands for the resources of all kinds.
const ALL: &str = "resources";

/// The target of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Target {
    /// The resources of a kind, or of all kinds.
    Collection(Option<Kind>),
    /// One resource.
    Item(Kind, String),
    /// A part of the fleet as this server sees it.
    Observed(observed::Collection, Option<String>),
}

/// A call by an operator.
struct Call {
    method: Method,
    target: Target,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
}

/// Adds the routes of the API.
pub fn routes(mut router: Router) -> Router {
    let kinds = Kind::iter().map(|kind| format!("{kind}s"));
    let observed = observed::Collection::iter().map(|collection| collection.to_string());
    for name in kinds.chain(observed).chain([ALL.to_owned()]) {
        router = router
            .route(format!("/v1/{name}"), any(serve))
            .route(format!("/v1/{name}/{{name}}"), any(serve));
    }
    router
}

async fn serve(Extension(process): Extension<Process>, request: Request) -> Response {
    match answer(&process, request).await {
        Ok(response) => response,
        Err(problem) => problem.response(),
    }
}

async fn answer(process: &Process, request: Request) -> Result<Response, Problem> {
    let (parts, body) = request.into_parts();
    version::authorize_operator(process, token(&parts.headers)).map_err(Problem::Denied)?;
    let target = target(parts.uri.path()).ok_or(Problem::Path)?;
    let call = Call {
        method: parts.method,
        target,
        uri: parts.uri,
        headers: parts.headers,
        body,
    };
    match (call.method.clone(), call.target.clone()) {
        (Method::GET, Target::Collection(kind)) => match query(&call.uri, "watch") {
            Some(from) => watch::stream(process, kind, &from).await,
            None => list::list(process, kind, &call.uri),
        },
        (Method::GET, Target::Item(kind, name)) => item::get(process, kind, &name),
        (Method::GET, Target::Observed(collection, name)) => {
            observed::get(process, collection, name.as_deref())
        }
        (Method::PUT, Target::Item(kind, name)) => edit::put(process, kind, name, call).await,
        (Method::DELETE, Target::Item(kind, name)) => edit::delete(process, kind, name, call).await,
        _ => Err(Problem::Method),
    }
}

/// Parses a path.
fn target(path: &str) -> Option<Target> {
    let mut parts = path.strip_prefix("/v1/")?.split('/');
    let collection = parts.next()?;
    let name = parts.next().map(str::to_owned);
    if collection == ALL {
        return name.is_none().then_some(Target::Collection(None));
    }
    if let Ok(observed) = observed::Collection::from_str(collection) {
        return Some(Target::Observed(observed, name));
    }
    let kind = Kind::from_str(collection.strip_suffix('s')?).ok()?;
    Some(match name {
        Some(name) => Target::Item(kind, name),
        None => Target::Collection(Some(kind)),
    })
}

/// Returns the token of the `Authorization` header.
fn token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// Returns a query parameter, with `=` and `,` decoded.
fn query(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(
        value
            .replace("%3D", "=")
            .replace("%2C", ",")
            .replace("%3d", "=")
            .replace("%2c", ","),
    )
}

/// Builds a JSON response.
fn json(status: StatusCode, document: &impl Serialize) -> Response {
    // Serializing the documents of the API can't fail.
    let body = serde_json::to_vec(document).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
