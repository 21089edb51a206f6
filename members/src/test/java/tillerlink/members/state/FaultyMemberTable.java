package tillerlink.members.state;

import tillerlink.members.config.MembershipConfig;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/** Tables with a fault planted in them, each of which has to be caught. */
public final class FaultyMemberTable extends MemberTable {
  /** What is wrong. */
  public enum What {
    BELIEVES_LOWER,
    COMES_BACK_AS_IT_WENT,
    GIVEN_UP_ON_HEARSAY,
    FORGETS_AT_ONCE
  }

  private final What what;
  private final Changes changes;

  public FaultyMemberTable(String self, MembershipConfig periods, Changes changes, What what) {
    super(self, periods, changes);
    this.what = what;
    this.changes = changes;
  }

  @Override
  public Outcome tell(GossipUpdate update, long now, boolean doubtful) {
    MemberRecord entry = get(update.name());
    if (entry == null) {
      return super.tell(update, now, doubtful);
    }
    int order = update.card().compare(entry.card());
    switch (what) {
      case BELIEVES_LOWER -> {
        if (order < 0) {
          entry.become(update.status(), update.card(), null, now);
        }
      }
      case COMES_BACK_AS_IT_WENT -> {
        if (order == 0
            && update.status() == MemberStatus.ALIVE
            && entry.status() == MemberStatus.GONE) {
          entry.become(MemberStatus.ALIVE, update.card(), null, now);
        }
      }
      case GIVEN_UP_ON_HEARSAY -> {
        if (order == 0
            && update.status() == MemberStatus.GONE
            && entry.status() == MemberStatus.ALIVE) {
          suspect(entry, update.accuser(), now, now);
        }
      }
      default -> {
        // another fault
      }
    }
    return super.tell(update, now, doubtful);
  }

  @Override
  public MemberRecord expire(long now) {
    MemberRecord gone = super.expire(now);
    if (gone != null && what == What.FORGETS_AT_ONCE) {
      remove(gone);
      changes.changed(gone, gone.reach(), MemberInfo.NONE);
    }
    return gone;
  }
}
