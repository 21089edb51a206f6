package tillerlink.members.state;

import tillerlink.members.config.MembershipConfig;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/** A member table with an injected fault, which the tests must detect. */
public final class FaultyMemberTable extends MemberTable {
  /** The fault of the table. */
  public enum InjectedFault {
    ACCEPTS_LOWER_INCARNATION,
    REVIVES_AT_SAME_INCARNATION,
    SUSPECTS_WITHOUT_PROBE,
    FORGETS_FAILED_AT_ONCE
  }

  private final InjectedFault fault;
  private final ChangeListener listener;

  public FaultyMemberTable(
      String self, MembershipConfig config, ChangeListener listener, InjectedFault fault) {
    super(self, config, listener);
    this.fault = fault;
    this.listener = listener;
  }

  @Override
  public MergeOutcome merge(GossipUpdate update, long now, boolean delayedByPause) {
    MemberRecord member = get(update.name());
    if (member != null) {
      injectBeforeMerge(member, update, now);
    }
    return super.merge(update, now, delayedByPause);
  }

  private void injectBeforeMerge(MemberRecord member, GossipUpdate update, long now) {
    int order = update.card().compare(member.card());
    switch (fault) {
      case ACCEPTS_LOWER_INCARNATION -> {
        if (order < 0) {
          member.transitionTo(update.status(), update.card(), null, now);
        }
      }
      case REVIVES_AT_SAME_INCARNATION -> {
        if (order == 0
            && update.status() == MemberStatus.ALIVE
            && member.status() == MemberStatus.GONE) {
          member.transitionTo(MemberStatus.ALIVE, update.card(), null, now);
        }
      }
      case SUSPECTS_WITHOUT_PROBE -> {
        if (order == 0
            && update.status() == MemberStatus.GONE
            && member.status() == MemberStatus.ALIVE) {
          suspect(member, update.accuser(), now, now);
        }
      }
      case FORGETS_FAILED_AT_ONCE -> {
        // This fault is injected in expire().
      }
    }
  }

  @Override
  public MemberRecord expire(long now) {
    MemberRecord failed = super.expire(now);
    if (failed != null && fault == InjectedFault.FORGETS_FAILED_AT_ONCE) {
      remove(failed);
      listener.onChange(failed, failed.reachability(), MemberInfo.NONE);
    }
    return failed;
  }
}
