package tillerlink.members;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.cluster.Reachability;
import tillerlink.members.probe.IndirectProbes;
import tillerlink.members.probe.LocalHealth;
import tillerlink.members.probe.Probe;
import tillerlink.members.probe.ProbeManager;
import tillerlink.members.probe.ProbeRotation;
import tillerlink.members.state.MemberRecord;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/**
 * SWIM's failure detector. It decides which members and seeds this process probes, and updates the
 * member table with the results.
 */
final class FailureDetector implements ProbeManager.Actions {
  /**
   * Maximum number of members that wait for a probe out of turn. Further members are probed in
   * their turn of the rotation.
   */
  private static final int MAX_UNVERIFIED = 64;

  private static final int VERIFICATIONS_PER_ROUND = 2;
  private static final int UNKNOWN_ROUND_TRIP = 0;

  private final MembershipState state;
  private final List<String> seeds;
  final LocalHealth health;
  final ProbeManager probes;
  final IndirectProbes indirectProbes;
  private final ProbeRotation rotation;

  /** Gossip updates that are not accepted until the member itself has been probed, by name. */
  private final Map<String, GossipUpdate> unverified = new LinkedHashMap<>();

  private int nextSeed;

  FailureDetector(MembershipState state, List<String> seeds) {
    this.state = state;
    this.seeds = seeds;
    health = new LocalHealth(state.config.maxLocalHealthScore());
    probes = new ProbeManager(state.config, health, state.random, this);
    indirectProbes = new IndirectProbes(state.random);
    rotation = new ProbeRotation(state.random);
  }

  // ---- selection of probe targets ----

  /** Probes the next member of the rotation that is active and is not being probed already. */
  void probeNext() {
    for (int i = 0; i < state.table.size() + 1; i++) {
      String name = rotation.next(state.table::activeNames);
      if (name == null) {
        return;
      }
      if (state.isActive(name) && !probes.isUnderWay(name)) {
        MemberRecord member = state.table.get(name);
        probeMember(member, member.suspicion());
        return;
      }
    }
  }

  private void probeMember(MemberRecord member, SuspicionLevel suspicion) {
    probes.start(
        Probe.Kind.MEMBER,
        member.name(),
        member.card().address(),
        suspicion,
        member.roundTrip(),
        state.now());
  }

  private void probe(Probe.Kind kind, String name, String address, SuspicionLevel suspicion) {
    probes.start(kind, name, address, suspicion, UNKNOWN_ROUND_TRIP, state.now());
  }

  void onMemberJoined(String name) {
    rotation.add(name);
  }

  /** Probes a failed member or a seed, because a partition may have healed. */
  void reconnect() {
    MemberRecord failed = state.random.nextBoolean() ? state.table.pickFailed(state.random) : null;
    if (failed != null) {
      probeFailed(failed);
    } else if (!seeds.isEmpty()) {
      String seed = seeds.get(nextSeed++ % seeds.size());
      if (!seed.equals(state.localMember.card().address())) {
        probe(Probe.Kind.SEED, "", seed, SuspicionLevel.NONE);
      }
    } else if (state.table.pickFailed(state.random) != null) {
      // The second pick is needed because a seeded run depends on the number of random draws.
      probeFailed(state.table.pickFailed(state.random));
    }
  }

  private void probeFailed(MemberRecord failed) {
    probe(Probe.Kind.GONE, failed.name(), failed.card().address(), failed.suspicion());
  }

  /**
   * Probes another process that may use the local member's name.
   *
   * @param address the address of that process, host:port
   */
  void probeRival(String address) {
    probe(Probe.Kind.RIVAL, state.self, address, SuspicionLevel.NONE);
  }

  /**
   * Queues a gossip update that must be verified by a probe of the member. The update is dropped if
   * {@link #MAX_UNVERIFIED} are queued.
   */
  void verify(GossipUpdate update) {
    if (unverified.size() < MAX_UNVERIFIED) {
      unverified.put(update.name(), update);
    }
  }

  boolean hasUnverified() {
    return !unverified.isEmpty();
  }

  /** Probes up to {@link #VERIFICATIONS_PER_ROUND} members with unverified gossip updates. */
  void probeUnverified() {
    for (int i = 0; i < VERIFICATIONS_PER_ROUND && !unverified.isEmpty(); i++) {
      GossipUpdate update = unverified.remove(unverified.keySet().iterator().next());
      if (!probes.isUnderWay(update.name())) {
        probeUnverified(update);
      }
    }
  }

  private void probeUnverified(GossipUpdate update) {
    SuspicionLevel claimed = suspicion(update);
    MemberRecord member = state.table.get(update.name());
    if (member != null && member.status().takesPart()) {
      probeMember(member, claimed.isPresent() ? claimed : member.suspicion());
    } else {
      probe(
          Probe.Kind.UNVERIFIED,
          update.name(),
          update.card().address(),
          member == null ? claimed : member.suspicion());
    }
  }

  private static SuspicionLevel suspicion(GossipUpdate update) {
    return update.status() == MemberStatus.ALIVE
        ? SuspicionLevel.NONE
        : new SuspicionLevel(update.status(), update.card().incarnation(), update.card().birth());
  }

  // ---- callbacks of probes ----

  @Override
  public void sendProbe(Probe probe, boolean withoutGossip) {
    state.send(
        probe.address(),
        new MemberMessage.Probe(
            state.localMember.card(),
            probe.number(),
            probe.name(),
            currentSuspicion(probe),
            withoutGossip ? List.of() : state.takeUpdates(MembershipState.UPDATE_BYTES)));
  }

  /**
   * Returns the suspicion that the probed member has to refute. If there was none when the probe
   * started, the table is consulted again, because a suspicion may have begun since.
   */
  private SuspicionLevel currentSuspicion(Probe probe) {
    MemberRecord member = state.table.get(probe.name());
    return member == null || probe.suspicion().isPresent() ? probe.suspicion() : member.suspicion();
  }

  @Override
  public int requestIndirectProbes(Probe probe) {
    List<MemberRecord> others =
        state.table.pickActive(state.random, state.config.indirectProbes(), probe.name());
    for (MemberRecord other : others) {
      state.send(
          other.card().address(),
          new MemberMessage.Ask(
              state.localMember.card(),
              probe.number(),
              probe.name(),
              probe.address(),
              currentSuspicion(probe),
              List.of()));
    }
    return others.size();
  }

  @Override
  public boolean isSuspected(Probe probe) {
    MemberRecord member = state.table.get(probe.name());
    return member == null || member.status() != MemberStatus.ALIVE;
  }

  @Override
  public void onIndirectAckOnly(Probe probe) {
    MemberRecord member = state.table.get(probe.name());
    if (member != null && member.status().takesPart()) {
      state.table.onAlive(member, probe.startedAt());
      state.table.onIndirectAck(member);
      if (member.directMisses() > 0 && member.reachability() != Reachability.THROUGH_OTHERS) {
        verify(member.toGossipUpdate("", state.now()));
      }
    }
  }

  @Override
  public void onFailure(Probe probe) {
    MemberRecord member = state.table.get(probe.name());
    if (member != null && state.table.suspect(member, state.self, state.now(), state.now())) {
      state.gossip.put(member.name(), state.self);
    }
  }

  /**
   * Drops all probes and unverified updates from before a pause of this process, because answers to
   * them may have arrived unread.
   */
  void onPause() {
    probes.clear();
    indirectProbes.clear();
    unverified.clear();
  }
}
