package tillerlink.members;

import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipListener;
import tillerlink.members.config.MembershipTransport;
import tillerlink.members.config.RateLimitedLog;
import tillerlink.members.state.MemberRecord;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.SuspicionLevel;

/**
 * The local member's view of its fleet of gateways, maintained by a SWIM membership protocol with
 * suspicion, incarnations, local health and anti-entropy. See {@code docs/members.md} and the
 * design note beside it.
 *
 * <p>Every method is called on the gateway's event loop; all I/O goes through the transport. Times
 * are tenths of a millisecond. The wall clock is used only to decide which of two processes with
 * the same name keeps it.
 */
public final class Members implements ClusterComponent, MembershipView {
  private static final long TENTHS_PER_MILLISECOND = 10;

  /**
   * Number of random low bits in a process's birth; the bits above them are its start time in
   * milliseconds.
   */
  private static final int RANDOM_BIRTH_BITS = 20;

  /**
   * Lateness of a tick, in probe intervals, beyond which the process is assumed to have been paused
   * without a call of {@link #onPause}.
   */
  private static final int MAX_LATE_PROBE_INTERVALS = 2;

  private static final int HEALTH_POINTS_OF_PAUSE = 2;

  /** Number of members that are notified at once that this process runs again after a pause. */
  private static final int PAUSE_ANNOUNCEMENTS = 6;

  private final Identity identity;
  private final MembershipListener listener;
  private final MembershipState state;
  private final FailureDetector failureDetector;
  private final Farewell farewell;
  private final MessageHandler messageHandler;
  private final PeriodicTasks tasks;
  private boolean started;

  /** When the next tick is due, as computed by the last tick. */
  private long expectedTickAt = Long.MAX_VALUE;

  private long malformed;
  private long pauses;

  /**
   * Creates a member, which starts with its first tick or message.
   *
   * @param transport sends the member's messages
   * @param random a seeded generator, the only source of randomness
   * @param listener is notified of changes
   * @param wall the wall clock at the start, in tenths of a millisecond, which distinguishes
   *     processes with the same name
   */
  public Members(
      Identity identity,
      MembershipConfig config,
      MembershipTransport transport,
      RandomGenerator random,
      MembershipListener listener,
      long wall) {
    this(identity, config, transport, random, listener, wall, new ComponentFactories());
  }

  Members(
      Identity identity,
      MembershipConfig config,
      MembershipTransport transport,
      RandomGenerator random,
      MembershipListener listener,
      long wall,
      ComponentFactories factories) {
    this.identity = identity;
    this.listener = listener;
    long birth =
        ((wall / TENTHS_PER_MILLISECOND) << RANDOM_BIRTH_BITS)
            | random.nextInt(1 << RANDOM_BIRTH_BITS);
    state =
        new MembershipState(
            identity, config, transport, listener, this::onChange, random, birth, factories);
    failureDetector = new FailureDetector(state, identity.seeds());
    farewell = new Farewell(state);
    LocalNameGuard localNameGuard = new LocalNameGuard(state, failureDetector, farewell);
    messageHandler = new MessageHandler(state, failureDetector, localNameGuard, farewell);
    tasks = new PeriodicTasks(state, failureDetector);
  }

  private void onChange(MemberRecord member, Reachability previous, MemberInfo previousCard) {
    Reachability current = member.reachability();
    MemberInfo card = member.card();
    if (previous != current) {
      listener.onReachabilityChanged(member.name(), previous, current);
    }
    if (!current.isContactable()) {
      return;
    }
    if (!previous.isContactable()) {
      failureDetector.onMemberJoined(member.name());
    } else if (previousCard.birth() != card.birth()) {
      listener.onProcessReplaced(member.name(), card.incarnation());
    }
  }

  // ---- component ----

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    advanceTo(now, wall);
    try {
      messageHandler.onMessage(from, MemberCodec.read(body));
    } catch (MalformedMessageException e) {
      malformed++;
      state.log.log(
          RateLimitedLog.Kind.MALFORMED,
          now,
          "members: malformed message from " + from + ": " + e.getMessage());
    }
  }

  @Override
  public void tick(long now, long wall) {
    advanceTo(now, wall);
    if (farewell.hasEnded()) {
      farewell.tick();
    } else {
      tasks.tick();
    }
    expectedTickAt = Math.max(now, nextDueAt());
  }

  /** Starts the member, or detects a pause that was not announced by {@link #onPause}. */
  private void advanceTo(long now, long wall) {
    state.advanceTo(now);
    long maxLateness = MAX_LATE_PROBE_INTERVALS * state.config.probeInterval();
    if (!started) {
      started = true;
      tasks.start();
      state.onIncarnationRaised();
    } else if (expectedTickAt < Long.MAX_VALUE && now - expectedTickAt > maxLateness) {
      onPause(now, wall, now - expectedTickAt);
    }
  }

  @Override
  public long nextDueAt() {
    if (!started) {
      return 0;
    }
    return farewell.hasEnded() ? farewell.nextDueAt() : tasks.nextDueAt();
  }

  @Override
  public void onPause(long now, long wall, long duration) {
    state.advanceTo(now);
    expectedTickAt = Long.MAX_VALUE;
    if (!started || farewell.hasEnded()) {
      return;
    }
    pauses++;
    failureDetector.onPause();
    state.table.onPause(duration);
    messageHandler.onPause(now + state.config.probeTimeout(), duration);
    state.log.log(
        RateLimitedLog.Kind.AWAY,
        now,
        "members: this process did nothing for " + duration / TENTHS_PER_MILLISECOND + " ms");
    state.localMember.raiseIncarnation(0);
    state.onIncarnationRaised();
    failureDetector.health.degrade(HEALTH_POINTS_OF_PAUSE);
    tasks.onPause();
    // Some members are notified at once, to refute their suspicion before it expires.
    for (MemberRecord member : state.table.pickActive(state.random, PAUSE_ANNOUNCEMENTS, "")) {
      state.sendGossip(
          member.card().address(), SuspicionLevel.NONE, MembershipState.SMALL_UPDATE_BYTES);
    }
  }

  // ---- leaving ----

  /**
   * Announces to several members, in several rounds, that this process leaves. {@link #stopped}
   * returns true once that is done, within half a second.
   *
   * @param now the monotonic time, in tenths of a millisecond
   */
  public void leave(long now) {
    if (!farewell.hasEnded()) {
      state.advanceTo(now);
      farewell.onLeave();
      farewell.tick();
    }
  }

  /**
   * Returns whether this process sends no further messages, because it left or yielded its name and
   * has announced that.
   */
  public boolean stopped() {
    return farewell.isAnnounced();
  }

  // ---- view ----

  @Override
  public String self() {
    return state.self;
  }

  /** Returns the name of the fleet. */
  public String fleet() {
    return identity.fleet();
  }

  @Override
  public String site(String name) {
    if (name.equals(state.self)) {
      return identity.site();
    }
    MemberRecord member = state.table.get(name);
    return member == null ? "" : member.card().site();
  }

  @Override
  public List<String> names() {
    return List.copyOf(state.table.all().keySet());
  }

  @Override
  public Reachability reachability(String name) {
    MemberRecord member = state.table.get(name);
    return member == null || yielded() ? Reachability.GONE : member.reachability();
  }

  /** Returns the address of another member, host:port; empty if the member is unknown. */
  public String address(String name) {
    MemberRecord member = state.table.get(name);
    return member == null ? "" : member.card().address();
  }

  /**
   * Returns the known incarnation of a member, the local one included; 0 if the member is unknown.
   */
  public long incarnation(String name) {
    if (name.equals(state.self)) {
      return state.localMember.card().incarnation();
    }
    MemberRecord member = state.table.get(name);
    return member == null ? 0 : member.card().incarnation();
  }

  /** Returns the number of active members, the local one included. */
  public int size() {
    return state.table.size();
  }

  /** Returns whether this process yielded its name to another process. */
  public boolean yielded() {
    return state.localMember.hasYielded();
  }

  /** Returns the counters since the start of this process, for monitoring. */
  public Counts counts() {
    return new Counts(
        state.sent(),
        state.sentBytes(),
        malformed,
        messageHandler.rejected(),
        state.localMember.refutations(),
        pauses,
        failureDetector.health.score(),
        state.gossip.size());
  }

  /**
   * Counters for monitoring.
   *
   * @param sent number of messages sent
   * @param sentBytes total length of the messages sent, in bytes
   * @param malformed number of messages received that could not be decoded
   * @param rejected number of gossip updates rejected because the member table was full
   * @param refuted number of times the local incarnation was raised
   * @param pauses number of pauses of this process
   * @param health the local health score; 0 is healthy
   * @param queuedUpdates number of gossip updates waiting to be sent
   */
  public record Counts(
      long sent,
      long sentBytes,
      long malformed,
      long rejected,
      long refuted,
      long pauses,
      int health,
      int queuedUpdates) {}
}
