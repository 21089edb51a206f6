package tillerlink.members;

import tillerlink.members.config.MembershipConfig;
import tillerlink.members.gossip.GossipQueue;
import tillerlink.members.local.LocalMember;
import tillerlink.members.state.MemberTable;

/** Factory of the components of {@link Members}. Tests override it to inject faults. */
class ComponentFactories {
  LocalMember localMember(Identity identity, long birth) {
    return new LocalMember(
        identity.persistedIncarnation(), birth, identity.address(), identity.site());
  }

  MemberTable memberTable(
      String self, MembershipConfig config, MemberTable.ChangeListener listener) {
    return new MemberTable(self, config, listener);
  }

  GossipQueue gossipQueue(int maxSize) {
    return new GossipQueue(maxSize);
  }
}
