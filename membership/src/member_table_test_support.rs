//! Test support: preloads a member table.

use super::*;

impl MemberTable {
    /// Adds these members as if they had been known for a long time, with no update pending.
    pub(crate) fn preload(&mut self, members: &[(Arc<MemberInfo>, MemberVersion)]) {
        for (info, version) in members {
            let id = member_id(&info.name);
            if id != self.my_id {
                let member = Member {
                    info: info.clone(),
                    version: *version,
                    state: MemberState::Active,
                    since: 0,
                };
                self.insert(id, member);
            }
        }
        self.own_times_sent = u32::MAX;
    }
}
