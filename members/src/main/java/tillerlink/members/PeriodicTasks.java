package tillerlink.members;

import java.util.List;
import tillerlink.members.probe.IndirectProbes;
import tillerlink.members.state.MemberRecord;
import tillerlink.messages.members.MemberMessage;

/**
 * The periodic tasks of a member: probes, gossip, anti-entropy, and the expiry of suspicions and of
 * inactive members.
 */
final class PeriodicTasks {
  private static final int LISTINGS_PER_ROUND = 8;

  /**
   * One gossip round out of this many sends small messages, because some links carry only small
   * ones.
   */
  private static final int SMALL_ROUND_EVERY = 4;

  /** Number of times that old inactive members are removed within one retention period. */
  private static final int FORGET_ROUNDS = 16;

  private final MembershipState state;
  private final FailureDetector failureDetector;
  private long probeAt;
  private long gossipAt;
  private long reconnectAt;
  private long antiEntropyAt;
  private long forgetAt;
  private int gossipRound;

  PeriodicTasks(MembershipState state, FailureDetector failureDetector) {
    this.state = state;
    this.failureDetector = failureDetector;
  }

  /**
   * Draws the times of the first tasks at random, so that members started at the same time do not
   * act at the same time.
   */
  void start() {
    long now = state.now();
    probeAt = now + state.random.nextLong(state.config.probeInterval());
    gossipAt = now + state.random.nextLong(state.config.gossipInterval());
    antiEntropyAt = now + state.random.nextLong(state.config.antiEntropyInterval()) + 1;
    reconnectAt = now;
    forgetAt = now + forgetInterval();
  }

  private long forgetInterval() {
    return state.config.forgetAfter() / FORGET_ROUNDS;
  }

  /**
   * Delays the next probe by the probe timeout after a pause of this process, so that other members
   * have time to answer, and makes gossip due at once.
   */
  void onPause() {
    probeAt = state.now() + state.config.probeTimeout();
    gossipAt = state.now();
  }

  /** Runs the tasks that are due. */
  void tick() {
    long now = state.now();
    failureDetector.probes.tick(now);
    sendNacks(now);
    expireSuspicions(now);
    if (now >= probeAt) {
      probeAt = now + state.config.probeInterval();
      failureDetector.probeNext();
    }
    if (now >= reconnectAt) {
      reconnectAt = now + reconnectInterval();
      failureDetector.reconnect();
    }
    if (now >= gossipAt) {
      gossipAt = now + state.config.gossipInterval();
      gossip();
    }
    if (now >= antiEntropyAt) {
      antiEntropyAt = now + drawAntiEntropyInterval();
      startAntiEntropy();
    }
    if (now >= forgetAt) {
      forgetAt = now + forgetInterval();
      state.table.forget(now);
    }
  }

  /** Returns the reconnect interval, which is shorter while no other member is active. */
  private long reconnectInterval() {
    return state.table.size() == 1
        ? state.config.probeInterval()
        : state.config.reconnectInterval();
  }

  private long drawAntiEntropyInterval() {
    long interval = state.config.antiEntropyInterval();
    return interval / 2 + state.random.nextLong(interval);
  }

  /** Sends negative answers to requests for indirect probes whose target did not answer. */
  private void sendNacks(long now) {
    for (IndirectProbes.Request request : failureDetector.indirectProbes.removeExpired(now)) {
      state.send(
          request.address(),
          new MemberMessage.Vouch(state.localMember.card(), request.number(), false, List.of()));
    }
  }

  private void expireSuspicions(long now) {
    MemberRecord failed = state.table.expire(now);
    while (failed != null) {
      state.gossip.put(failed.name(), state.self);
      failed = state.table.expire(now);
    }
  }

  private void startAntiEntropy() {
    MemberRecord member = state.table.pickActive(state.random);
    if (member != null) {
      state.sendDigest(member.card().address());
    }
  }

  private void gossip() {
    failureDetector.probeUnverified();
    boolean small = gossipRound++ % SMALL_ROUND_EVERY == SMALL_ROUND_EVERY - 1;
    int maxBytes = small ? MembershipState.SMALL_UPDATE_BYTES : MembershipState.UPDATE_BYTES;
    if (!state.gossip.isEmpty()) {
      int fanout = state.config.gossipFanout();
      for (MemberRecord member : state.table.pickActive(state.random, fanout, "")) {
        state.sendGossip(member.card().address(), member.suspicion(), maxBytes);
      }
    }
    for (int i = 0; i < LISTINGS_PER_ROUND; i++) {
      if (!state.antiEntropy.sendNext(state.localMember.card(), maxBytes, state::send)) {
        return;
      }
    }
  }

  /** Returns when {@link #tick} is due, in tenths of a millisecond. */
  long nextDueAt() {
    long dueAt = Math.min(Math.min(probeAt, reconnectAt), Math.min(antiEntropyAt, forgetAt));
    dueAt = Math.min(dueAt, failureDetector.probes.nextDueAt());
    dueAt = Math.min(dueAt, failureDetector.indirectProbes.nextDueAt());
    dueAt = Math.min(dueAt, state.table.nextDueAt());
    return needsGossipRound() ? Math.min(dueAt, gossipAt) : dueAt;
  }

  private boolean needsGossipRound() {
    boolean hasGossip = !state.gossip.isEmpty() && state.table.size() > 1;
    return hasGossip || !state.antiEntropy.isIdle() || failureDetector.hasUnverified();
  }
}
