package tillerlink.members;

import java.util.List;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.Reachability;
import tillerlink.members.antientropy.AntiEntropy;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipListener;
import tillerlink.members.config.MembershipTransport;
import tillerlink.members.config.RateLimitedLog;
import tillerlink.members.probe.IndirectProbes;
import tillerlink.members.state.MemberRecord;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.SuspicionLevel;

/**
 * Who takes part in a fleet of gateways, as one of them knows it. See {@code docs/members.md} and
 * the design note beside it. The wall clock decides nothing, but for which of two processes with
 * one name is preferred.
 */
public final class Members implements ClusterComponent, MembershipView {
  private static final int PIECES_AT_ONCE = 8;
  private static final int LAST_TO = 6;
  private static final int LAST_TIMES = 3;

  /**
   * Between two of them at the most: a process that was told to end takes turns for 700 ms more at
   * the least.
   */
  private static final long LAST_EVERY_MOST = 2000;

  private static final int SMALL_EVERY = 4;
  private static final int RANDOM_BITS = 20;

  private final Identity identity;
  private final MembershipConfig periods;
  private final RandomGenerator random;
  private final MembershipState core;
  private final FailureDetector asking;
  private final AntiEntropy digests;
  private final MessageHandler hearing;
  private final MembershipListener watcher;
  private boolean started;
  private long probeAt;
  private long gossipAt;
  private long retryAt;
  private long digestAt;
  private long forgetAt;
  private long promised = Long.MAX_VALUE;
  private int gossipRound;
  private int lastSaid;
  private long lastAt = Long.MIN_VALUE;
  private long malformed;
  private long awayCount;

  /**
   * @param wire where messages go out
   * @param random a seeded generator
   * @param watcher is told of what changes
   * @param wall the machine's clock at the start, which tells processes of one name apart
   */
  public Members(
      Identity identity,
      MembershipConfig periods,
      MembershipTransport wire,
      RandomGenerator random,
      MembershipListener watcher,
      long wall) {
    this(identity, periods, wire, random, watcher, wall, new ComponentFactories());
  }

  Members(
      Identity identity,
      MembershipConfig periods,
      MembershipTransport wire,
      RandomGenerator random,
      MembershipListener watcher,
      long wall,
      ComponentFactories makers) {
    this.identity = identity;
    this.periods = periods;
    this.random = random;
    this.watcher = watcher;
    long birth = wall / 10 << RANDOM_BITS | random.nextInt(1 << RANDOM_BITS);
    core =
        new MembershipState(identity, periods, wire, watcher, this::changed, random, birth, makers);
    asking = new FailureDetector(core, identity.seeds());
    digests = new AntiEntropy(new All());
    hearing = new MessageHandler(core, asking, digests);
  }

  private final class All implements AntiEntropy.Known {
    @Override
    public Iterable<String> names(int bucket) {
      if (MemberCodec.bucket(core.self) != bucket) {
        return core.table.bucket(bucket);
      }
      TreeSet<String> names = new TreeSet<>(core.table.bucket(bucket));
      names.add(core.self);
      return names;
    }

    @Override
    public GossipUpdate update(String name) {
      return core.update(name, "");
    }
  }

  private void changed(MemberRecord entry, Reachability was, MemberInfo before) {
    Reachability is = entry.reach();
    if (was != is) {
      watcher.onReachabilityChanged(entry.name(), was, is);
    }
    if (!was.isContactable() && is.isContactable()) {
      asking.newMember(entry.name());
    }
    if (was.isContactable() && is.isContactable() && before.birth() != entry.card().birth()) {
      watcher.onProcessReplaced(entry.name(), entry.card().incarnation());
    }
  }

  // ---- part ----

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    enter(now, wall);
    try {
      hearing.told(from, MemberCodec.read(body));
    } catch (MalformedMessageException e) {
      malformed++;
      core.lines.line(
          RateLimitedLog.Kind.MALFORMED,
          now,
          "members: a message from " + from + " can't be read: " + e.getMessage());
    }
  }

  @Override
  public void tick(long now, long wall) {
    enter(now, wall);
    if (core.isOut()) {
      sayLast();
    } else {
      doDue();
    }
    promised = Math.max(now, nextDueAt());
  }

  /** A pause that nobody told of shows by what is overdue. */
  private void enter(long now, long wall) {
    core.now = now;
    if (!started) {
      start();
    } else if (promised < Long.MAX_VALUE && now - promised > 2 * periods.probeInterval()) {
      onPause(now, wall, now - promised);
    }
  }

  private void start() {
    started = true;
    probeAt = core.now + random.nextLong(periods.probeInterval());
    gossipAt = core.now + random.nextLong(periods.gossipInterval());
    digestAt = core.now + random.nextLong(periods.antiEntropyInterval()) + 1;
    retryAt = core.now;
    forgetAt = core.now + periods.forgetAfter() / 16;
    core.raised();
  }

  private void doDue() {
    long now = core.now;
    asking.probes.turn(now);
    for (IndirectProbes.For who : asking.relays.expired(now)) {
      core.send(
          who.address(), new MemberMessage.Vouch(core.own.card(), who.number(), false, List.of()));
    }
    for (MemberRecord gone = core.table.expire(now); gone != null; gone = core.table.expire(now)) {
      core.updates.put(gone.name(), core.self);
    }
    if (now >= probeAt) {
      probeAt = now + periods.probeInterval();
      asking.probeNext();
    }
    if (now >= retryAt) {
      retryAt =
          now + (core.table.size() == 1 ? periods.probeInterval() : periods.reconnectInterval());
      asking.retry();
    }
    if (now >= gossipAt) {
      gossipAt = now + periods.gossipInterval();
      gossip();
    }
    if (now >= digestAt) {
      digestAt =
          now + periods.antiEntropyInterval() / 2 + random.nextLong(periods.antiEntropyInterval());
      MemberRecord any = core.table.anyTalking(random);
      if (any != null) {
        hearing.compare(any.card().address());
      }
    }
    if (now >= forgetAt) {
      forgetAt = now + periods.forgetAfter() / 16;
      core.table.forget(now);
    }
  }

  private void gossip() {
    asking.verifySome();
    boolean small = gossipRound++ % SMALL_EVERY == SMALL_EVERY - 1;
    int room =
        MembershipState.room(small ? MembershipState.BYTES_SMALL : MembershipState.BYTES_MOST);
    if (!core.updates.isEmpty()) {
      for (MemberRecord entry : core.table.someTalking(random, periods.gossipFanout(), "")) {
        core.gossip(entry.card().address(), entry.suspicion(), room);
      }
    }
    for (int i = 0; i < PIECES_AT_ONCE && digests.send(core.own.card(), room, core::send); i++) {
      // the next piece
    }
  }

  @Override
  public long nextDueAt() {
    if (!started) {
      return 0;
    }
    if (core.isOut()) {
      return stopped() ? Long.MAX_VALUE : lastAt;
    }
    long due = Math.min(Math.min(probeAt, retryAt), Math.min(digestAt, forgetAt));
    due =
        Math.min(
            due,
            Math.min(asking.probes.dueAt(), Math.min(asking.relays.dueAt(), core.table.dueAt())));
    boolean hasToSay =
        !core.updates.isEmpty() && core.table.size() > 1
            || !digests.isIdle()
            || asking.hasToVerify();
    return hasToSay ? Math.min(due, gossipAt) : due;
  }

  @Override
  public void onPause(long now, long wall, long lasted) {
    core.now = now;
    promised = Long.MAX_VALUE;
    if (!started || core.isOut()) {
      return;
    }
    awayCount++;
    asking.away();
    core.table.away(lasted);
    hearing.doubtful(now + periods.probeTimeout(), lasted);
    core.lines.line(
        RateLimitedLog.Kind.AWAY,
        now,
        "members: this process did nothing for " + lasted / 10 + " ms");
    core.own.raise(0);
    core.raised();
    asking.health.worse(2);
    probeAt = now + periods.probeTimeout();
    gossipAt = now;
    // Some are told at once, before they give this process up.
    for (MemberRecord entry : core.table.someTalking(random, LAST_TO, "")) {
      core.gossip(
          entry.card().address(),
          SuspicionLevel.NONE,
          MembershipState.room(MembershipState.BYTES_SMALL));
    }
  }

  // ---- leaving ----

  /**
   * This process goes: said to some, several times; {@link #stopped} once that is done, within half
   * a second.
   */
  public void leave(long now) {
    if (!core.isOut()) {
      core.now = now;
      core.leave();
      sayLast();
    }
  }

  private void sayLast() {
    if (stopped() || core.now < lastAt) {
      return;
    }
    lastSaid++;
    lastAt = core.now + Math.min(periods.probeInterval() / 5, LAST_EVERY_MOST);
    for (MemberRecord entry : core.table.someTalking(random, LAST_TO, "")) {
      core.sayLast(entry.card().address());
    }
  }

  /** Whether nothing more comes from this process: it left, and said so, or yielded its name. */
  public boolean stopped() {
    return core.isOut() && lastSaid >= LAST_TIMES;
  }

  // ---- roster ----

  @Override
  public String self() {
    return core.self;
  }

  public String fleet() {
    return identity.fleet();
  }

  @Override
  public String site(String name) {
    if (name.equals(core.self)) {
      return identity.site();
    }
    MemberRecord entry = core.table.get(name);
    return entry == null ? "" : entry.card().site();
  }

  @Override
  public List<String> names() {
    return List.copyOf(core.table.all().keySet());
  }

  @Override
  public Reachability reachability(String name) {
    MemberRecord entry = core.table.get(name);
    return entry == null || core.own.yielded() ? Reachability.GONE : entry.reach();
  }

  /** Where messages to a member go; empty if it is not known. */
  public String address(String name) {
    MemberRecord entry = core.table.get(name);
    return entry == null ? "" : entry.card().address();
  }

  /** The incarnation under which a member is known, the own one too; 0 if it is not known. */
  public long incarnation(String name) {
    MemberRecord entry = core.table.get(name);
    return name.equals(core.self)
        ? core.own.card().incarnation()
        : entry == null ? 0 : entry.card().incarnation();
  }

  /** Those that take part, oneself counted. */
  public int size() {
    return core.table.size();
  }

  /** Whether another process keeps the own name. */
  public boolean yielded() {
    return core.own.yielded();
  }

  public Counts counts() {
    return new Counts(
        core.sent,
        core.sentBytes,
        malformed,
        hearing.refused,
        core.own.refuted(),
        awayCount,
        asking.health.score(),
        core.updates.size());
  }

  /**
   * For those who watch over it.
   *
   * @param sent messages
   * @param sentBytes bytes in them
   * @param malformed messages that could not be read
   * @param refused members there was no room for
   * @param refuted how often the own incarnation rose
   * @param pauses how often this process was held up
   * @param health local health, 0 is well
   * @param updates news that wait to be told on
   */
  public record Counts(
      long sent,
      long sentBytes,
      long malformed,
      long refused,
      long refuted,
      long pauses,
      int health,
      int updates) {}
}
