package tillerlink.members;

import tillerlink.members.config.Periods;
import tillerlink.members.gossip.Rumours;
import tillerlink.members.local.Own;
import tillerlink.members.state.Table;

/** Makes the parts that members are put together of. Tests plant faults by making others. */
class Makers {
  Own own(Identity identity, long birth) {
    return new Own(identity.before(), birth, identity.address(), identity.site());
  }

  Table table(String self, Periods periods, Table.Changes changes) {
    return new Table(self, periods, changes);
  }

  Rumours rumours(int most) {
    return new Rumours(most);
  }
}
