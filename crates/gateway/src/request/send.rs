//! Sends a request to one target.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use common::clock::Moment;
use fleet::config::{Delivery, Retry};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, header::HOST};
use placement::{balancer::Key, health::Outcome};
use platform::request::{Attempt, Step};
use slog::info;
use tokio::time;

use crate::{
    connection::{self, Connection},
    dispatch::{Destination, Dispatch},
    pool::{Origin, Reuse},
    request::{Execution, Pending, RESPONSE_MARGIN},
    state::ms,
};

/// Limit of the response to the release of a computed prompt, in bytes.
const MAX_RELEASE_BYTES: usize = 4 * 1024;
/// Limit of the state of an engine, in bytes.
const MAX_STATE_BYTES: usize = 64 * 1024;
/// Longest wait for an engine to say when its process started; sound ones answer within milliseconds.
const LONGEST_IDENTIFICATION: Duration = Duration::from_millis(300);

/// Time between two checks whether a target leaves while a connection to it is awaited.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Pending {
    /// Sends the request to a target and waits for the response head.
    pub(crate) async fn send(
        &self,
        dispatch: &Dispatch,
        key: Key,
        step: Step,
        resume_after: Option<u64>,
    ) -> Execution {
        let Some(destination) = dispatch.destination(key) else {
            return Execution::NotRun;
        };
        // Whether the target has closed an idle connection before its time, and may have ended.
        let mut closed_early = false;
        loop {
            let reuse =
                if self.progress().silent.contains(&key) || self.must_be_identified(key, &step) {
                    Reuse::Never
                } else if step == Step::Prefill || self.has_attempts_left() {
                    Reuse::Any
                } else {
                    Reuse::IfRecentlyActive
                };
            let (mut connection, origin) =
                match self.gateway.pool.take(destination.address, reuse).await {
                    Ok(taken) => taken,
                    Err(error) => {
                        self.record_unreachable(dispatch, key, &destination, &error);
                        let Some(connection) = self.wait_for(error, dispatch, key).await else {
                            self.progress().record_unreached(key);
                            return Execution::NotRun;
                        };
                        (connection, Origin::New)
                    }
                };
            if self.gateway.pool.take_closed_early(destination.address) {
                self.gateway.balancer().doubt(key, Moment::now());
                closed_early = true;
            }
            let trusted = if self.must_be_identified(key, &step) {
                self.identify(key, &destination, &mut connection).await
            } else if !self.version_matters(&step) {
                true
            } else if self.progress().began.is_some() {
                !self.gateway.balancer().is_doubted(key, Moment::now())
            } else {
                !(closed_early && self.has_other_target(dispatch.service(), key))
            };
            if !trusted {
                self.progress().record_unreached(key);
                return Execution::NotRun;
            }
            if !self.begin(dispatch, &step) {
                self.gateway.pool.put(destination.address, connection);
                return Execution::NotRun;
            }
            self.progress().record_send();
            let prefix_source =
                dispatch.plan.prefix_source.filter(|_| !matches!(step, Step::Decode { .. }));
            let attempt = Attempt {
                target: destination.name.clone(),
                remaining: self.remaining(),
                priority: self.priority(),
                resume_after,
                prefix_source: prefix_source
                    .and_then(|key| dispatch.destination(key))
                    .map(|holder| holder.address),
                step: step.clone(),
                caller: self.permission.caller.clone(),
            };
            let outgoing = self.outgoing(&attempt);
            match self.exchange(dispatch, key, connection, outgoing).await {
                // The target closed a reused connection before any byte was sent: send again.
                Err(connection::Error::NotSent(_)) if origin == Origin::Reused => {
                    self.progress().withdraw_send();
                    self.gateway.balancer().doubt(key, Moment::now());
                    closed_early = true;
                }
                Err(error) => {
                    info!(self.gateway.log, "attempt_failed"; "id" => &self.metadata.id,
                        "target" => %destination.name, "digest" => %self.content.whole,
                        "parts" => self.metadata.shared_part_ids(), "fault" => %error);
                    if origin != Origin::Reused {
                        self.gateway.record_unreached(dispatch.service(), &destination.name);
                    } else if error.is_closed() {
                        self.gateway.balancer().doubt(key, Moment::now());
                    }
                    dispatch.record_outcome(key, Outcome::Broken);
                    self.progress().avoid.push(key);
                    return Execution::Disconnected;
                }
                Ok(execution) => {
                    if origin != Origin::Reused {
                        self.gateway.record_reached(dispatch.service());
                    }
                    match execution {
                        Execution::Responded(..) => {}
                        Execution::NotRun => self.record_rejection(dispatch, key),
                        Execution::MayHaveRun | Execution::Disconnected => {
                            self.progress().avoid.push(key);
                        }
                    }
                    return execution;
                }
            }
        }
    }

    fn record_rejection(&self, dispatch: &Dispatch, key: Key) {
        let is_first = {
            let mut progress = self.progress();
            progress.record_rejection(key);
            progress.rejections == 1
        };
        if is_first {
            let mut balancer = self.gateway.balancer();
            balancer.record_rejected(dispatch.service(), self.claimant(), Moment::now());
        }
    }

    /// Checks right before the request is sent that its key is still valid and that it was not quarantined meanwhile; a trial
    /// counts from here. Another
    /// engine that only computes the prompt doesn't begin to run it.
    fn begin(&self, dispatch: &Dispatch, step: &Step) -> bool {
        if let Err(error) = self.check_permission() {
            info!(self.gateway.log, "permission_lost"; "id" => &self.metadata.id, "fault" => %error);
            return false;
        }
        let place = self.gateway.balancer().fleet().place();
        let quarantine = &self.gateway.quarantine;
        let begun = match step {
            Step::Prefill => {
                quarantine.admit_request(self.content, place, Moment::now()).map(|()| Vec::new())
            }
            Step::Run | Step::Decode { .. } => quarantine.begin_request(self.content, place),
        };
        match begun {
            Ok(notices) => {
                dispatch.log_crashes("trial", &notices);
                self.gateway.notify_peers(notices);
                true
            }
            Err(wait) => {
                info!(self.gateway.log, "quarantined_before_sent"; "id" => &self.metadata.id,
                    "digest" => %self.content.whole, "wait_ms" => ms(wait));
                false
            }
        }
    }

    fn record_unreachable(
        &self,
        dispatch: &Dispatch,
        key: Key,
        destination: &Destination,
        error: &connection::Error,
    ) {
        info!(self.gateway.log, "target_not_reached"; "id" => &self.metadata.id,
            "target" => %destination.name, "fault" => %error);
        dispatch.record_outcome(key, Outcome::Unreached);
        if matches!(error, connection::Error::Refused(_)) {
            self.gateway.balancer().doubt(key, Moment::now());
        }
    }

    /// Whether the software version of the target matters: a stream may go on only at the one that began it.
    fn version_matters(&self, step: &Step) -> bool {
        self.route().retry == Retry::Resume && *step != Step::Prefill
    }

    /// Whether the target must say when its process started before it gets the request: it may have restarted, also unnoticed if
    /// the stream has events already.
    fn must_be_identified(&self, key: Key, step: &Step) -> bool {
        if !self.version_matters(step) {
            return false;
        }
        let goes_on = self.progress().began.is_some();
        let balancer = self.gateway.balancer();
        balancer.must_be_identified(key, Moment::now())
            || (goes_on && balancer.can_be_identified(key))
    }

    /// Asks an engine over a new connection when its process started; `false` if it isn't the one that announced itself. One
    /// that doesn't say so and may have restarted gets new streams only.
    async fn identify(
        &self,
        key: Key,
        destination: &Destination,
        connection: &mut Connection,
    ) -> bool {
        let limit = LONGEST_IDENTIFICATION.min(self.remaining() / 3);
        let said = time::timeout(limit, ask_start(connection, destination.address)).await;
        let said = said.unwrap_or_default();
        let identified = match said {
            Some(Some(started_unix_ms)) => {
                self.gateway.balancer().identify(key, started_unix_ms, Moment::now())
            }
            Some(None) => {
                self.progress().began.is_none()
                    || !self.gateway.balancer().is_doubted(key, Moment::now())
            }
            None => false,
        };
        info!(self.gateway.log, "target_identified"; "id" => &self.metadata.id,
            "target" => %destination.name, "started_unix_ms" => ?said, "same" => identified);
        identified
    }

    /// Waits for a connection that is not made yet, if there is no other target and the target accepted one not long ago, as
    /// long as the deadline allows and the target doesn't leave.
    async fn wait_for(
        &self,
        error: connection::Error,
        dispatch: &Dispatch,
        key: Key,
    ) -> Option<Connection> {
        let connection::Error::Slow(pending) = error else {
            return None;
        };
        let service = dispatch.service();
        let absent = self.gateway.balancer().is_absent(key, Moment::now());
        if absent || self.has_other_target(service, key) {
            return None;
        }
        let limit = self.remaining().saturating_sub(RESPONSE_MARGIN);
        let connection = tokio::select! {
            biased;
            () = self.until_leaving(key) => {
                info!(self.gateway.log, "slow_connection_given_up"; "id" => &self.metadata.id,
                    "target" => dispatch.target_name(key));
                return None;
            }
            connection = pending.wait(limit) => connection,
            // A peer may serve the request.
            () = self.gateway.relay.until_relayed(service) => return None,
        };
        match connection {
            Ok(connection) => {
                self.gateway.balancer().record_connected(key);
                info!(self.gateway.log, "slow_connection_made"; "id" => &self.metadata.id,
                    "target" => dispatch.target_name(key));
                Some(connection)
            }
            Err(error) => {
                info!(self.gateway.log, "slow_connection_failed"; "id" => &self.metadata.id,
                    "target" => dispatch.target_name(key), "fault" => %error);
                None
            }
        }
    }

    /// Waits until a target has said that it leaves, or is gone.
    async fn until_leaving(&self, key: Key) {
        while self.gateway.balancer().is_staying(key) {
            time::sleep(LEAVE_CHECK_INTERVAL).await;
        }
    }

    async fn exchange(
        &self,
        dispatch: &Dispatch,
        key: Key,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Execution, connection::Error> {
        let sent_at = Moment::now();
        let response = connection.send(request).await?;
        if let Some(destination) = dispatch.destination(key) {
            self.gateway.pool.mark_alive(destination.address);
        }
        let (status, headers) = (response.status(), response.headers());
        let id = &self.metadata.id;
        if !connection::is_final(status) {
            info!(self.gateway.log, "status_not_valid"; "id" => id, "status" => status.as_u16(),
                "target" => dispatch.target_name(key));
            dispatch.record_outcome(key, Outcome::Error);
            return Ok(Execution::MayHaveRun);
        }
        let is_unattributed = platform::response::is_not_run(status, headers)
            && !platform::response::names_request(headers, id)
            && !connection.has_one_request();
        if !platform::response::matches_request(headers, id) || is_unattributed {
            // A surplus response to an earlier request: the response to this one can't be identified any more.
            info!(self.gateway.log, "answer_of_another_request"; "id" => id);
            dispatch.record_outcome(key, Outcome::Error);
            return Ok(Execution::MayHaveRun);
        }
        if !platform::response::is_misdirected(status) {
            dispatch.record_report(key, &platform::response::report(status, headers), sent_at);
        }
        if platform::response::is_not_run(status, headers) {
            let misdirected = platform::response::is_misdirected(status);
            info!(self.gateway.log, "target_refused"; "id" => &self.metadata.id,
                "status" => status.as_u16());
            dispatch
                .record_outcome(key, if misdirected { Outcome::Broken } else { Outcome::Refusal });
            return Ok(Execution::NotRun);
        }
        if self.route().delivery == Delivery::Whole {
            self.count_begun(dispatch, sent_at);
        }
        Ok(Execution::Responded(response, connection))
    }

    fn outgoing(&self, attempt: &Attempt) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = platform::request::forwarded_headers(&self.headers, attempt);
        request
    }

    /// Releases a computed prompt that no target will take over; where that fails, the engine's handle expires.
    pub(crate) fn release_handle(&self, address: SocketAddr, handle: &str) {
        let pool = self.gateway.pool.clone();
        let path = platform::engine::handle_path(handle);
        let host = address.to_string();
        tokio::spawn(async move {
            let Ok((mut connection, _)) = pool.take(address, Reuse::Any).await else {
                return;
            };
            let request = Request::builder()
                .method(Method::DELETE)
                .uri(path)
                .header(HOST, host)
                .body(Full::default());
            let Ok(request) = request else {
                return;
            };
            let limit = Duration::from_secs(1);
            if let Ok(Ok(response)) = time::timeout(limit, connection.send(request)).await {
                let body = Limited::new(response.into_body(), MAX_RELEASE_BYTES);
                let drained = body.collect();
                if time::timeout(limit, drained).await.is_ok_and(|body| body.is_ok()) {
                    pool.put(address, connection);
                }
            }
        });
    }
}

/// The start of an engine's process as it says itself, which not all do; nothing if it doesn't answer.
async fn ask_start(connection: &mut Connection, address: SocketAddr) -> Option<Option<u64>> {
    let request = Request::get(platform::engine::STATE_PATH)
        .header(HOST, address.to_string())
        .body(Full::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_STATE_BYTES).collect().await.ok()?;
    let said = platform::engine::decode_start(&body.to_bytes());
    connection.wait_until_ready().await.then_some(said)
}
