package tillerlink.members.probe;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.members.config.MembershipConfig;
import tillerlink.messages.members.SuspicionLevel;

/**
 * The probes under way. An active member is probed with gossip attached, then without (a link may
 * carry small messages only), then through other members as well; if there is no answer that round
 * is repeated before the member is suspected. Others are probed twice, directly.
 *
 * <p>Times are tenths of a millisecond. No I/O; owned by the gateway's event loop.
 */
public final class ProbeManager {
  /** How many probes are kept, finished ones counted that may still be answered. */
  public static final int MAX_PROBES = 128;

  /** What a probe does and results in. */
  public interface Actions {
    /**
     * Sends an attempt to the probed address.
     *
     * @param bare whether no gossip is attached
     */
    void sendProbe(Probe probe, boolean bare);

    /** Requests indirect probes of other members, and returns of how many. */
    int requestIndirectProbes(Probe probe);

    /** Whether the member is suspected already, perhaps by others. */
    boolean isSuspected(Probe probe);

    /** The member did not answer directly, but it answered others. */
    void onIndirectAckOnly(Probe probe);

    /** The member did not answer at all. */
    void onFailure(Probe probe);
  }

  private static final int STEPS_PER_ROUND = 3;
  private static final int MAX_ROUNDS = 6;
  private static final int ROUNDS = 2;
  private static final int ROUNDS_IF_SUSPECTED = 1;

  /** How much one probe degrades the local health at most. */
  private static final int MAX_HEALTH_POINTS = 2;

  private final MembershipConfig config;
  private final LocalHealth health;
  private final RandomGenerator random;
  private final Actions actions;

  /** By base number, in the order of their start. */
  private final Map<Long, Probe> probes = new LinkedHashMap<>();

  private long usualRoundTrip;

  /** Without any probe. */
  public ProbeManager(
      MembershipConfig config, LocalHealth health, RandomGenerator random, Actions actions) {
    this.config = config;
    this.health = health;
    this.random = random;
    this.actions = actions;
  }

  /** Whether a probe of that name is under way. */
  public boolean isUnderWay(String name) {
    for (Probe probe : probes.values()) {
      if (!probe.finished && probe.name.equals(name)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Starts a probe and sends its first attempt; ignored if too many are under way.
   *
   * @param name whom; empty for a seed
   * @param expectedRoundTrip the usual round-trip time of its answers; 0 if that is not known
   */
  public void start(
      Probe.Kind kind,
      String name,
      String address,
      SuspicionLevel suspicion,
      long expectedRoundTrip,
      long now) {
    if (probes.size() >= MAX_PROBES && !dropOldestFinished()) {
      return;
    }
    Probe probe =
        new Probe(kind, drawBaseNumber(), name, address, suspicion, now, expectedRoundTrip);
    probes.put(probe.baseNumber, probe);
    Invariant.holds(
        probes.size() <= MAX_PROBES, () -> "probes: " + probes.size() + " exceed " + MAX_PROBES);
    step(probe, now);
  }

  private long drawBaseNumber() {
    long number = Probe.baseNumber(random.nextLong());
    return number == 0 || probes.containsKey(number) ? drawBaseNumber() : number;
  }

  private boolean dropOldestFinished() {
    Iterator<Probe> iterator = probes.values().iterator();
    while (iterator.hasNext()) {
      if (iterator.next().finished) {
        iterator.remove();
        return true;
      }
    }
    return false;
  }

  /**
   * Handles an acknowledgement, also a late one.
   *
   * @return the probe that it answers; null if there is none, or if somebody else was probed
   */
  public Probe onAck(long number, String from, long now) {
    Probe probe = probes.get(Probe.baseNumber(number));
    boolean isOfOther = probe != null && !probe.name.isEmpty() && !probe.name.equals(from);
    if (probe == null || isOfOther) {
      return null;
    }
    if (!probe.finished && probe.kind == Probe.Kind.MEMBER) {
      health.improve();
    }
    finish(probe, now);
    long roundTrip = Math.min(now - probe.sentAt(Probe.attempt(number)), config.maxProbeTimeout());
    probe.roundTrip = roundTrip;
    // Slower links are believed soon, faster ones only after a while.
    usualRoundTrip =
        roundTrip > usualRoundTrip
            ? (usualRoundTrip + roundTrip) / 2
            : (7 * usualRoundTrip + roundTrip) / 8;
    return probe;
  }

  /** Handles the result of an indirect probe; ignored if none was requested. */
  public void onIndirectResult(long number, boolean reached) {
    Probe probe = probes.get(Probe.baseNumber(number));
    if (probe == null || probe.indirectRequests == 0) {
      return;
    }
    if (reached) {
      probe.ackedIndirectly = true;
    } else {
      probe.indirectNacks++;
    }
  }

  /** Sends the next attempts of the probes whose timeout has expired, or ends them. */
  public void tick(long now) {
    List<Probe> due = new ArrayList<>();
    for (Probe probe : probes.values()) {
      if (probe.nextStepAt <= now) {
        due.add(probe);
      }
    }
    due.forEach(probe -> step(probe, now));
  }

  /** When {@link #tick} is due; {@link Long#MAX_VALUE} if nothing is under way. */
  public long nextDueAt() {
    long dueAt = Long.MAX_VALUE;
    for (Probe probe : probes.values()) {
      dueAt = Math.min(dueAt, probe.nextStepAt);
    }
    return dueAt;
  }

  /**
   * Drops all probes without a result; to be called after a pause of this process, as answers may
   * have waited unread.
   */
  public void clear() {
    probes.clear();
  }

  // ---- steps ----

  private void step(Probe probe, long now) {
    if (probe.finished) {
      probes.remove(probe.baseNumber);
      return;
    }
    if (probe.kind != Probe.Kind.MEMBER) {
      stepDirectOnly(probe, now);
      return;
    }
    switch (probe.step % STEPS_PER_ROUND) {
      case 0 -> beginRound(probe, now);
      case 1 -> {
        send(probe, now, true);
        scheduleNext(probe, now, 1);
      }
      default -> {
        probe.indirectRequests += actions.requestIndirectProbes(probe);
        send(probe, now, true);
        scheduleNext(probe, now, 2);
      }
    }
  }

  /** Begins a round, or ends the probe after its last one. */
  private void beginRound(Probe probe, long now) {
    boolean first = probe.step == 0;
    if (!first && (probe.ackedIndirectly || probe.step >= rounds(probe) * STEPS_PER_ROUND)) {
      end(probe, now);
      return;
    }
    send(probe, now, !first);
    scheduleNext(probe, now, 1);
  }

  /** How many rounds a probe has; a process in bad health has more. */
  private int rounds(Probe probe) {
    int rounds = actions.isSuspected(probe) ? ROUNDS_IF_SUSPECTED : ROUNDS;
    return Math.min(MAX_ROUNDS, rounds + health.extraRounds());
  }

  private void stepDirectOnly(Probe probe, long now) {
    if (probe.step > 1) {
      finish(probe, now);
      return;
    }
    send(probe, now, probe.step == 1);
    scheduleNext(probe, now, 1 + probe.step);
  }

  private void send(Probe probe, long now, boolean bare) {
    probe.onSend(now);
    actions.sendProbe(probe, bare);
  }

  private void scheduleNext(Probe probe, long now, int timeouts) {
    probe.step++;
    probe.nextStepAt = now + timeouts * timeout(probe);
  }

  private long timeout(Probe probe) {
    long roundTrip = Math.max(probe.expectedRoundTrip, usualRoundTrip);
    long timeout = Math.max(config.probeTimeout(), 2 * roundTrip);
    return Math.min(config.maxProbeTimeout(), health.scaleTimeout(timeout));
  }

  private void end(Probe probe, long now) {
    finish(probe, now);
    if (probe.ackedIndirectly) {
      actions.onIndirectAckOnly(probe);
      return;
    }
    // Negative acknowledgements arrive too: if all others send them, this process does hear others.
    int missingNacks = probe.indirectRequests - probe.indirectNacks;
    health.degrade(
        probe.indirectRequests == 0 ? 1 : Math.max(0, Math.min(MAX_HEALTH_POINTS, missingNacks)));
    actions.onFailure(probe);
  }

  /** Keeps a finished probe for a while, as an answer may still arrive. */
  private void finish(Probe probe, long now) {
    probe.finished = true;
    probe.nextStepAt = now + 2 * config.maxProbeTimeout();
  }
}
