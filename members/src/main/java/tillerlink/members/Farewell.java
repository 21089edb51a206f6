package tillerlink.members;

import java.util.ArrayList;
import java.util.List;
import tillerlink.members.state.MemberRecord;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/**
 * The end of this process as a member: it leaves, or another process keeps its name. That is
 * announced to some members, several times.
 */
final class Farewell {
  private static final int FANOUT = 6;
  private static final int ROUNDS = 3;
  private static final int ROUNDS_PER_PROBE_INTERVAL = 5;

  /**
   * Longest time between two rounds, in tenths of a millisecond: a process that was told to end
   * runs its event loop for at least 700 ms more.
   */
  private static final long MAX_INTERVAL = 2000;

  private final MembershipState state;

  /** The process that keeps the name, if one does; null as long as this one is a member. */
  private List<MemberInfo> successors;

  private long endedAt;
  private int rounds;
  private long nextRoundAt = Long.MIN_VALUE;

  Farewell(MembershipState state) {
    this.state = state;
  }

  /** Whether this process is no member any more. */
  boolean hasEnded() {
    return successors != null;
  }

  /** This process leaves. */
  void onLeave() {
    state.markLeft();
    end(List.of());
  }

  /** Another process keeps the local member's name. */
  void onNameLost(MemberInfo successor) {
    end(List.of(successor));
    state.listener.onNameLost();
  }

  private void end(List<MemberInfo> keepers) {
    successors = keepers;
    endedAt = state.now();
  }

  /** Announces the end to some members, if a round is due. */
  void tick() {
    if (isAnnounced() || state.now() < nextRoundAt) {
      return;
    }
    rounds++;
    nextRoundAt =
        state.now()
            + Math.min(state.config.probeInterval() / ROUNDS_PER_PROBE_INTERVAL, MAX_INTERVAL);
    for (MemberRecord member : state.table.pickActive(state.random, FANOUT, "")) {
      announceTo(member.card().address());
    }
  }

  /** Announces that this process has left, and which other one keeps its name. */
  void announceTo(String address) {
    long age = state.now() - endedAt;
    MemberInfo card = state.localMember.card();
    List<GossipUpdate> updates = new ArrayList<>();
    updates.add(new GossipUpdate(state.self, MemberStatus.LEFT, card, "", age));
    for (MemberInfo successor : successors) {
      updates.add(new GossipUpdate(state.self, MemberStatus.ALIVE, successor, "", age));
    }
    state.send(address, new MemberMessage.Gossip(card, SuspicionLevel.NONE, updates));
  }

  /** Whether this process has ended and announced it often enough. */
  boolean isAnnounced() {
    return hasEnded() && rounds >= ROUNDS;
  }

  /** When {@link #tick} is due, once this process has ended. */
  long nextDueAt() {
    return isAnnounced() ? Long.MAX_VALUE : nextRoundAt;
  }
}
