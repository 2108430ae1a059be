//! A table that tests start from.

use super::*;

impl MemberTable {
    /// Has known these members for long, so that there is no news.
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
