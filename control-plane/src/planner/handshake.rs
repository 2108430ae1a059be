//! The handshake with a forwarder, which checks its greeting and begins its session.

use super::{Planner, PlannerAction};
use crate::codec;
use crate::error::{LinkError, SessionRejection};
use crate::messages::{is_valid_name, Hello, PlannerMessage, Welcome};
use rand::Rng;

impl Planner {
    /// Handles a forwarder's greeting: begins the session, or answers with the reason for its rejection. A new session
    /// replaces an existing one of the same forwarder.
    pub(super) fn handle_greeting(
        &mut self,
        key: usize,
        body: &[u8],
        out: &mut Vec<PlannerAction>,
    ) -> Result<(), LinkError> {
        let hello: Hello = codec::decode_greeting(body)?;
        let existing = self
            .sessions
            .iter()
            .find(|(other, session)| {
                *other != key && session.number.is_some() && session.forwarder == hello.name
            })
            .map(|(other, session)| (other, session.epoch));
        if let Err(rejection) = self.check_hello(&hello, existing.map(|(_, epoch)| epoch)) {
            let rejected = Welcome::Refused(rejection.to_string());
            self.sessions[key].writer.append_greeting(&rejected);
            return Err(rejection.into());
        }
        self.begin_session(key, hello, out);
        if let Some((replaced, _)) = existing {
            // Closes the old session. Without this, a forwarder that reconnects after its connection was cut would be
            // kept out until its old session times out.
            self.close_session(replaced, "replaced by a new session", out);
        }
        Ok(())
    }

    fn check_hello(
        &self,
        hello: &Hello,
        existing_epoch: Option<u64>,
    ) -> Result<(), SessionRejection> {
        if !is_valid_name(&hello.name) {
            Err(SessionRejection::InvalidName)
        } else if hello.planner != self.config.name {
            Err(SessionRejection::OtherPlanner)
        } else if hello.fingerprint != self.config.fingerprint {
            Err(SessionRejection::OtherSettings)
        } else if hello.zone >= self.config.zone_count.max(1) {
            Err(SessionRejection::UnknownZone)
        } else if existing_epoch.is_some_and(|epoch| epoch > hello.epoch) {
            Err(SessionRejection::OlderEpoch)
        } else {
            Ok(())
        }
    }

    fn begin_session(&mut self, key: usize, hello: Hello, out: &mut Vec<PlannerAction>) {
        // The number is random, so that frames of an earlier session or for another planner do not match it.
        let number = self.rng.random::<u64>().max(1);
        let session = &mut self.sessions[key];
        session.writer.append_greeting(&Welcome::Session(number));
        session.number = Some(number);
        session.forwarder = hello.name;
        session.epoch = hello.epoch;
        session.zone = hello.zone.into();
        if self.shutting_down {
            session.send(&PlannerMessage::ShuttingDown);
            session.writer.finish_frame();
        }
        let (name, zone) = (&session.forwarder, session.zone);
        out.push(PlannerAction::Log(format!(
            "forwarder connected name={name} zone={zone}"
        )));
    }
}
