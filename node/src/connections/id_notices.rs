//! What the two processes of an upgrade tell each other about the ids of requests that must not run twice, while both
//! accept clients. A notice is made before an attempt starts, so that it is sent before the host can get the request.

use super::attempted_ids::{self, IdHash, IdNotice};
use super::connection::{Connection, Stage};
use super::listener::must_not_run_twice;
use super::Connections;
use crate::context::Context;

/// The notices for the other process of an upgrade.
#[derive(Debug, Default)]
pub(super) struct IdNotices {
    /// Whether there is another process. Without one, no notices are kept.
    enabled: bool,
    queued: Vec<IdNotice>,
}

impl IdNotices {
    pub(super) fn push(&mut self, notice: IdNotice) {
        if self.enabled {
            self.queued.push(notice);
        }
    }
}

impl Connection {
    /// Returns whether an attempt of the request has been started, or its connection is open.
    fn was_attempted(&self) -> bool {
        self.attempts > 0 || self.stage == Stage::Open || self.may_have_run()
    }
}

impl Connections {
    /// Sets whether notices are made for another process.
    pub fn enable_id_notices(&mut self, enabled: bool) {
        self.id_notices.enabled = enabled;
    }

    /// Takes the notices that were made since the last call.
    pub fn take_id_notices(&mut self) -> Vec<IdNotice> {
        std::mem::take(&mut self.id_notices.queued)
    }

    /// Returns a notice for each id that is remembered, and of each request under way that must not run twice.
    pub fn all_id_notices(&self, context: &Context) -> Vec<IdNotice> {
        let under_way = self
            .slab
            .iter()
            .map(|(_, connection)| connection)
            .filter(|c| c.was_attempted() && must_not_run_twice(context, c.incoming.class))
            .filter_map(|connection| connection.wire_id.as_deref().map(IdHash::of));
        self.attempted_ids
            .ids()
            .chain(under_way)
            .map(IdNotice::Attempted)
            .collect()
    }

    /// Applies a notice of the other process.
    pub fn apply_id_notice(&mut self, context: &Context, notice: IdNotice) {
        match notice {
            IdNotice::Attempted(id) => self.remember_id(context, id),
            IdNotice::NotRun(id) => self.attempted_ids.forget(id),
        }
    }

    /// Makes a notice before the first attempt of a request that must not run twice.
    pub(super) fn announce_first_attempt(&mut self, context: &Context, slot: usize) {
        let connection = &self.slab[slot];
        if connection.attempts > 0 || !must_not_run_twice(context, connection.incoming.class) {
            return;
        }
        if let Some(id) = &connection.wire_id {
            self.id_notices
                .push(IdNotice::Attempted(IdHash::of(id.as_ref())));
        }
    }

    /// Remembers the id of a request that has ended if it may have run and must not run twice.
    pub(super) fn remember_ended_request(&mut self, context: &Context, slot: usize, id: &str) {
        let connection = &self.slab[slot];
        if !must_not_run_twice(context, connection.incoming.class) {
            return;
        }
        let id = IdHash::of(id);
        if connection.may_have_run() {
            self.remember_id(context, id);
            self.id_notices.push(IdNotice::Attempted(id));
        } else if connection.attempts > 0 {
            self.id_notices.push(IdNotice::NotRun(id));
        }
    }

    fn remember_id(&mut self, context: &Context, id: IdHash) {
        let retention = attempted_ids::retention(context.settings.max_request_timeout);
        let expires_at = context.now.saturating_add(retention);
        self.attempted_ids.remember(context.now, id, expires_at);
    }
}
