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
 * Ends this process's membership, because it leaves or because another process keeps its name, and
 * announces the end to several members in several rounds.
 */
final class Farewell {
  private static final int FANOUT = 6;
  private static final int ROUNDS = 3;
  private static final int ROUNDS_PER_PROBE_INTERVAL = 5;

  /**
   * Maximum time between two rounds, in tenths of a millisecond. A process that was asked to shut
   * down runs its event loop for at least 700 ms more, and all rounds must fit into that time.
   */
  private static final long MAX_INTERVAL = 2000;

  private final MembershipState state;

  /**
   * The other process that keeps the name; empty if this process left. Null while this process is
   * still a member.
   */
  private List<MemberInfo> successors;

  private long endedAt;
  private int roundsSent;
  private long nextRoundAt = Long.MIN_VALUE;

  Farewell(MembershipState state) {
    this.state = state;
  }

  /** Returns whether this process has left or has lost its name to another process. */
  boolean hasEnded() {
    return successors != null;
  }

  /** Ends the membership because this process leaves. */
  void onLeave() {
    state.markLeft();
    end(List.of());
  }

  /**
   * Ends the membership because another process keeps the local member's name.
   *
   * @param successor the card of that process
   */
  void onNameLost(MemberInfo successor) {
    end(List.of(successor));
    state.listener.onNameLost();
  }

  private void end(List<MemberInfo> nameHolders) {
    successors = nameHolders;
    endedAt = state.now();
  }

  /** Announces the end to up to {@link #FANOUT} members, if a round is due. */
  void tick() {
    if (isAnnounced() || state.now() < nextRoundAt) {
      return;
    }
    roundsSent++;
    nextRoundAt =
        state.now()
            + Math.min(state.config.probeInterval() / ROUNDS_PER_PROBE_INTERVAL, MAX_INTERVAL);
    for (MemberRecord member : state.table.pickActive(state.random, FANOUT, "")) {
      announceTo(member.card().address());
    }
  }

  /**
   * Announces that this process has left, and which other process keeps its name, if any.
   *
   * @param address the address to send to, host:port
   */
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

  /** Returns whether the membership has ended and all rounds of announcements were sent. */
  boolean isAnnounced() {
    return hasEnded() && roundsSent >= ROUNDS;
  }

  /**
   * Returns when {@link #tick} is due once the membership has ended, in tenths of a millisecond;
   * {@link Long#MAX_VALUE} if nothing is left to announce.
   */
  long nextDueAt() {
    return isAnnounced() ? Long.MAX_VALUE : nextRoundAt;
  }
}
