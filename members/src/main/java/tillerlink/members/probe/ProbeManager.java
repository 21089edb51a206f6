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
 * Manages the probes under way. An active member is probed first with gossip attached, then without
 * gossip because a link may carry only small messages, and then also through other members. If no
 * answer arrives, this round is repeated before the member is suspected. All other targets are
 * probed twice, directly.
 *
 * <p>Times are tenths of a millisecond. This class does no I/O and is confined to the gateway's
 * event loop.
 */
public final class ProbeManager {
  /** Maximum number of probes, including finished ones that may still be answered. */
  public static final int MAX_PROBES = 128;

  /** Callbacks for the messages and results of probes. */
  public interface Actions {
    /**
     * Sends an attempt to the probed address.
     *
     * @param withoutGossip whether the message must contain no gossip
     */
    void sendProbe(Probe probe, boolean withoutGossip);

    /**
     * Requests indirect probes from other members.
     *
     * @return the number of members that were sent a request
     */
    int requestIndirectProbes(Probe probe);

    /** Returns whether the member is not known to be alive, for example suspected by others. */
    boolean isSuspected(Probe probe);

    /** Handles a probe that was answered only through other members. */
    void onIndirectAckOnly(Probe probe);

    /** Handles a probe that was answered neither directly nor through other members. */
    void onFailure(Probe probe);
  }

  private static final int STEPS_PER_ROUND = 3;
  private static final int MAX_ROUNDS = 6;
  private static final int ROUNDS = 2;
  private static final int ROUNDS_IF_SUSPECTED = 1;

  /** Maximum number of points by which one probe degrades the local health. */
  private static final int MAX_HEALTH_POINTS = 2;

  private final MembershipConfig config;
  private final LocalHealth health;
  private final RandomGenerator random;
  private final Actions actions;

  /** The probes by base number, in the order of their start. */
  private final Map<Long, Probe> probes = new LinkedHashMap<>();

  private long smoothedRoundTrip;

  /** Creates an instance without probes. */
  public ProbeManager(
      MembershipConfig config, LocalHealth health, RandomGenerator random, Actions actions) {
    this.config = config;
    this.health = health;
    this.random = random;
    this.actions = actions;
  }

  /** Returns whether a probe of the member with that name is under way. */
  public boolean isUnderWay(String name) {
    for (Probe probe : probes.values()) {
      if (!probe.finished && probe.name.equals(name)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Starts a probe and sends its first attempt. The call is ignored if {@link #MAX_PROBES} are
   * under way.
   *
   * @param kind the target of the probe and the reason for it
   * @param name the name of the probed member; empty for a seed
   * @param address the address to send the probe to, host:port
   * @param suspicion the suspicion that the member has to refute
   * @param expectedRoundTrip the usual round-trip time of its answers, in tenths of a millisecond;
   *     0 if it is unknown
   * @param now the monotonic time, in tenths of a millisecond
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
   * Handles an acknowledgement, including one that arrives after its probe has finished.
   *
   * @param number the number of the acknowledged attempt
   * @param from the name of the sender
   * @param now the monotonic time, in tenths of a millisecond
   * @return the acknowledged probe; null if there is none, or if another member was probed
   */
  public Probe onAck(long number, String from, long now) {
    Probe probe = probes.get(Probe.baseNumber(number));
    boolean isFromOther = probe != null && !probe.name.isEmpty() && !probe.name.equals(from);
    if (probe == null || isFromOther) {
      return null;
    }
    if (!probe.finished && probe.kind == Probe.Kind.MEMBER) {
      health.improve();
    }
    finish(probe, now);
    long roundTrip = Math.min(now - probe.sentAt(Probe.attempt(number)), config.maxProbeTimeout());
    probe.roundTrip = roundTrip;
    // The estimate follows an increase quickly and a decrease slowly.
    smoothedRoundTrip =
        roundTrip > smoothedRoundTrip
            ? (smoothedRoundTrip + roundTrip) / 2
            : (7 * smoothedRoundTrip + roundTrip) / 8;
    return probe;
  }

  /**
   * Handles the result of an indirect probe. It is ignored if none was requested.
   *
   * @param number the number of the probe for which indirect probes were requested
   * @param reached whether the target answered
   */
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

  /** Sends the next attempt of each probe whose timeout has expired, or ends the probe. */
  public void tick(long now) {
    List<Probe> due = new ArrayList<>();
    for (Probe probe : probes.values()) {
      if (probe.nextStepAt <= now) {
        due.add(probe);
      }
    }
    due.forEach(probe -> step(probe, now));
  }

  /**
   * Returns when {@link #tick} is due, in tenths of a millisecond; {@link Long#MAX_VALUE} if there
   * are no probes.
   */
  public long nextDueAt() {
    long dueAt = Long.MAX_VALUE;
    for (Probe probe : probes.values()) {
      dueAt = Math.min(dueAt, probe.nextStepAt);
    }
    return dueAt;
  }

  /**
   * Drops all probes without a result. This must be called after a pause of this process, because
   * answers may have arrived and not been read yet.
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

  /** Returns the number of rounds of a probe, which is higher if this process is unhealthy. */
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

  private void send(Probe probe, long now, boolean withoutGossip) {
    probe.onSend(now);
    actions.sendProbe(probe, withoutGossip);
  }

  private void scheduleNext(Probe probe, long now, int timeouts) {
    probe.step++;
    probe.nextStepAt = now + timeouts * timeout(probe);
  }

  private long timeout(Probe probe) {
    long roundTrip = Math.max(probe.expectedRoundTrip, smoothedRoundTrip);
    long timeout = Math.max(config.probeTimeout(), 2 * roundTrip);
    return Math.min(config.maxProbeTimeout(), health.scaleTimeout(timeout));
  }

  private void end(Probe probe, long now) {
    finish(probe, now);
    if (probe.ackedIndirectly) {
      actions.onIndirectAckOnly(probe);
      return;
    }
    // Members that fail to reach the target send negative acknowledgements. If all of them arrive,
    // this process does receive messages, so the probe does not degrade its own health.
    int missingNacks = probe.indirectRequests - probe.indirectNacks;
    health.degrade(
        probe.indirectRequests == 0 ? 1 : Math.max(0, Math.min(MAX_HEALTH_POINTS, missingNacks)));
    actions.onFailure(probe);
  }

  /** Marks a probe as finished and retains it for a while, because an answer may still arrive. */
  private void finish(Probe probe, long now) {
    probe.finished = true;
    probe.nextStepAt = now + 2 * config.maxProbeTimeout();
  }
}
