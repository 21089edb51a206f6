package tillerlink.members;

import tillerlink.members.gossip.Rumours;
import tillerlink.members.own.Own;
import tillerlink.members.state.Table;
import tillerlink.members.terms.Periods;

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
