//! Middleware that refuses requests without the fleet's token.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use jsonrpsee::{
    core::BoxError,
    server::{HttpBody, HttpRequest, HttpResponse},
};
use jsonrpsee_http_client::HeaderValue;
use tower::{Layer, Service};

use crate::{TOKEN_HEADER, Token, error::UNAUTHORIZED};

/// Wraps a service in a [`Guard`].
#[derive(Clone)]
pub(crate) struct GuardLayer {
    token: Arc<Token>,
}

/// Passes only requests with the right token to the inner service.
#[derive(Clone)]
pub(crate) struct Guard<S> {
    token: Arc<Token>,
    inner: S,
}

impl GuardLayer {
    pub(crate) fn new(token: Token) -> Self {
        Self { token: Arc::new(token) }
    }
}

impl<S> Layer<S> for GuardLayer {
    type Service = Guard<S>;

    fn layer(&self, inner: S) -> Guard<S> {
        Guard { token: Arc::clone(&self.token), inner }
    }
}

impl<S> Service<HttpRequest> for Guard<S>
where
    S: Service<HttpRequest, Response = HttpResponse, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: HttpRequest) -> Self::Future {
        let given = req.headers().get(TOKEN_HEADER).map_or(&[][..], |it| it.as_bytes());
        if is_equal(given, self.token.as_bytes()) {
            return Box::pin(self.inner.call(req));
        }
        let mut res = HttpResponse::new(HttpBody::empty());
        *res.status_mut() = UNAUTHORIZED.try_into().expect("a valid status");
        // Closes the connection, so that unauthorized clients can't use up the server's
        // connections.
        res.headers_mut().insert("connection", HeaderValue::from_static("close"));
        Box::pin(std::future::ready(Ok(res)))
    }
}

/// Compares in time that depends only on the lengths, so that timing reveals nothing of the token.
fn is_equal(given: &[u8], wanted: &[u8]) -> bool {
    let differences = given.iter().zip(wanted).fold(0, |acc, (a, b)| acc | (a ^ b));
    given.len() == wanted.len() && differences == 0
}
