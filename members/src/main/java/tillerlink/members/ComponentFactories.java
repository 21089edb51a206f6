package tillerlink.members;

import tillerlink.members.config.MembershipConfig;
import tillerlink.members.gossip.GossipQueue;
import tillerlink.members.local.LocalMember;
import tillerlink.members.state.MemberTable;

/** Makes the parts that members are put together of. Tests plant faults by making others. */
class ComponentFactories {
  LocalMember own(Identity identity, long birth) {
    return new LocalMember(identity.before(), birth, identity.address(), identity.site());
  }

  MemberTable table(String self, MembershipConfig periods, MemberTable.Changes changes) {
    return new MemberTable(self, periods, changes);
  }

  GossipQueue updates(int most) {
    return new GossipQueue(most);
  }
}
