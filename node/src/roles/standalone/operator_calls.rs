//! The responses of a standalone node to the requests of its operator API.

use super::Node;
use crate::operators::api::{ApiRequest, ApiResponse};
use crate::operators::metrics::Gauges;
use reedferry_membership::MemberState;

impl Node<'_> {
    /// Carries out an operator's request and returns the response.
    pub(super) fn answer(&mut self, request: ApiRequest) -> ApiResponse {
        let is_stopping = self.context.may_end_at.is_some();
        match request {
            ApiRequest::Metrics => ApiResponse::new(200, self.metrics_text()),
            ApiRequest::Fleet => match &self.fleet {
                Some(fleet) => {
                    let now = self.context.now;
                    let replication = self.replication.as_ref().map(|r| r.status(now));
                    ApiResponse::new(200, fleet.status(now, replication))
                }
                None => ApiResponse::new(404, "no fleet\n"),
            },
            ApiRequest::Status => self.status(),
            ApiRequest::Active if is_stopping => ApiResponse::new(409, "stopping\n"),
            ApiRequest::Standby if is_stopping => ApiResponse::new(200, "stopping\n"),
            ApiRequest::Standby => {
                self.enter_standby();
                ApiResponse::new(200, "standby\n")
            }
            ApiRequest::Active => {
                self.leave_standby();
                ApiResponse::new(200, "active\n")
            }
        }
    }

    fn metrics_text(&self) -> String {
        let counts = self.balancer.host_counts(self.context.now);
        self.context.metrics.text(&Gauges {
            in_flight: self.connections.in_flight(),
            hosts_known: counts.listed,
            hosts_excluded: counts.avoided,
        })
    }

    /// Returns status 200 if this node accepts new clients, and 503 with the reason if it is stopping, standing by or knows no
    /// hosts.
    fn status(&self) -> ApiResponse {
        let hosts_known = self.balancer.host_counts(self.context.now).listed;
        if self.context.may_end_at.is_some() {
            ApiResponse::new(503, "stopping\n")
        } else if self.context.standby_deadline.is_some() {
            ApiResponse::new(503, "standby\n")
        } else if hosts_known == 0 {
            ApiResponse::new(503, "no hosts known\n")
        } else {
            ApiResponse::new(200, "ready\n")
        }
    }

    fn enter_standby(&mut self) {
        if self.context.standby_deadline.is_some() {
            return;
        }
        let event = self.context.enter_standby(self.connections.count());
        self.context.events.push(event);
        self.announce(MemberState::Standby);
    }

    fn leave_standby(&mut self) {
        if self.context.standby_deadline.is_none() {
            return;
        }
        let event = self.context.leave_standby();
        self.context.events.push(event);
        self.announce(MemberState::Active);
    }
}
