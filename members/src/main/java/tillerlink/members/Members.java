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
 * The members of a fleet of gateways as one of them knows them: a SWIM membership protocol with
 * suspicion, incarnations, local health and anti-entropy. See {@code docs/members.md} and the
 * design note beside it.
 *
 * <p>Every method is called on the gateway's event loop; there is no I/O but through the transport.
 * Times are tenths of a millisecond. The wall clock decides nothing but which of two processes of
 * one name keeps it.
 */
public final class Members implements ClusterComponent, MembershipView {
  private static final long TENTHS_PER_MILLISECOND = 10;

  /** The lowest bits of a process's birth are random, those above its start in milliseconds. */
  private static final int RANDOM_BIRTH_BITS = 20;

  /** A tick that is late by more probe intervals shows a pause that nobody announced. */
  private static final int LATE_PROBE_INTERVALS = 2;

  private static final int HEALTH_POINTS_OF_PAUSE = 2;

  /** How many members learn at once that this process is back after a pause. */
  private static final int PAUSE_ANNOUNCEMENTS = 6;

  private final Identity identity;
  private final MembershipListener listener;
  private final MembershipState state;
  private final FailureDetector failureDetector;
  private final Farewell farewell;
  private final MessageHandler messageHandler;
  private final PeriodicTasks tasks;
  private boolean started;

  /** When the next tick is due, as of the last one. */
  private long expectedTickAt = Long.MAX_VALUE;

  private long malformed;
  private long pauses;

  /**
   * Makes a member that starts with its first tick or message.
   *
   * @param transport sends its messages
   * @param random a seeded generator, the only source of chance
   * @param listener is notified of changes
   * @param wall the machine's clock at the start, which tells processes of one name apart
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
    LocalNameGuard localName = new LocalNameGuard(state, failureDetector, farewell);
    messageHandler = new MessageHandler(state, failureDetector, localName, farewell);
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
    enter(now, wall);
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
    enter(now, wall);
    if (farewell.hasEnded()) {
      farewell.tick();
    } else {
      tasks.tick();
    }
    expectedTickAt = Math.max(now, nextDueAt());
  }

  /** Starts the member, or notices a pause that nobody announced. */
  private void enter(long now, long wall) {
    state.advanceTo(now);
    long maxLateness = LATE_PROBE_INTERVALS * state.config.probeInterval();
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
    // Some members are told at once, before they declare this process failed.
    for (MemberRecord member : state.table.pickActive(state.random, PAUSE_ANNOUNCEMENTS, "")) {
      state.sendGossip(
          member.card().address(), SuspicionLevel.NONE, MembershipState.SMALL_UPDATE_BYTES);
    }
  }

  // ---- leaving ----

  /**
   * Announces to some members, several times, that this process leaves; {@link #stopped} once that
   * is done, within half a second.
   */
  public void leave(long now) {
    if (!farewell.hasEnded()) {
      state.advanceTo(now);
      farewell.onLeave();
      farewell.tick();
    }
  }

  /** Whether this process sends nothing more: it left, or yielded its name, and announced that. */
  public boolean stopped() {
    return farewell.isAnnounced();
  }

  // ---- view ----

  @Override
  public String self() {
    return state.self;
  }

  /** The name of the fleet. */
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

  /** Where messages to another member go, host:port; empty if it is not known. */
  public String address(String name) {
    MemberRecord member = state.table.get(name);
    return member == null ? "" : member.card().address();
  }

  /**
   * The incarnation under which a member is known, the local one included; 0 if it is not known.
   */
  public long incarnation(String name) {
    if (name.equals(state.self)) {
      return state.localMember.card().incarnation();
    }
    MemberRecord member = state.table.get(name);
    return member == null ? 0 : member.card().incarnation();
  }

  /** How many members are active, the local one included. */
  public int size() {
    return state.table.size();
  }

  /** Whether another process keeps the local member's name. */
  public boolean yielded() {
    return state.localMember.hasYielded();
  }

  /** Counters since the start of this process, for monitoring. */
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
   * @param sent messages sent
   * @param sentBytes bytes in them
   * @param malformed messages that could not be read
   * @param rejected gossip updates of members for which the table had no capacity
   * @param refuted how often the local incarnation rose
   * @param pauses how often this process was paused
   * @param health the local health score; 0 is healthy
   * @param queuedUpdates gossip updates that are still to be sent
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
