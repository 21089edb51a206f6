package tillerlink.statements;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.StatementCodec;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.messages.statements.StatementMessage.Lease;
import tillerlink.messages.statements.StatementMessage.Propose;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.consensus.Learner;
import tillerlink.statements.consensus.RaftVoter;
import tillerlink.statements.consensus.Voters;
import tillerlink.statements.lease.LeaseGrantor;
import tillerlink.statements.lease.LeaseHolder;
import tillerlink.statements.prepare.Preparer;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/**
 * The prepared statements of a cluster, kept correct while schemas change: all gateways replicate
 * the same catalog, and no statement is run under a schema that is no longer in effect.
 *
 * <p>This class does no I/O and is owned by the gateway's event loop: all methods are called on
 * that thread only, and {@link #tick} is called after the durable store has reported a write as
 * durable. Times are in tenths of a millisecond, by the gateway's clock.
 */
public final class Statements implements ClusterComponent {
  /** The value that matches any generation in {@link #prepare} and {@link #drop}. */
  public static final long ANY_GENERATION = -1;

  private final Voters voters;
  private final MessageSender sender;
  private final EventClock clock = new EventClock();
  private final LeaseHolder leases;
  private final RequestQueue queue;
  private final CatalogReplica replica;
  private final StatementRequests requests;
  private final RunAuthorizer runAuthorizer;
  private final LogParticipant participant;
  private int lastProposedVoter;
  private long malformedMessages;
  private long pauses;

  /**
   * Restores this gateway's participant in the replicated catalog from the store.
   *
   * @param random a seeded generator, so that simulated runs can be reproduced
   * @param preparer prepares statements again after changes
   * @param warnings receives lines for the operator's log
   * @throws MalformedMessageException if the stored state can't be read
   */
  public Statements(
      StatementsConfig config,
      MembershipView membership,
      MessageSender sender,
      KeyValueStore store,
      RandomGenerator random,
      Preparer preparer,
      Consumer<String> warnings)
      throws MalformedMessageException {
    this.sender = sender;
    voters = new Voters(config.voters(), membership.self());
    leases = new LeaseHolder(config.lease(), config.raft(), voters, this::send, random);
    queue = new RequestQueue(leases.holderId(), this::propose);
    replica = new CatalogReplica(clock, leases, queue);
    requests = new StatementRequests(clock, replica, queue);
    runAuthorizer = new RunAuthorizer(clock, config.lease(), replica, leases);
    if (voters.includesSelf()) {
      RaftVoter voter =
          new RaftVoter(config.raft(), voters, this::send, store, random, replica, warnings);
      participant =
          new VoterParticipant(
              clock,
              replica,
              this::send,
              voter,
              new LeaseGrantor(config.lease(), config.raft(), voter),
              new LeaderTasks(config, voters, voter, preparer));
    } else {
      int first = random.nextInt(voters.count());
      participant =
          new LearnerParticipant(clock, new Learner(voters, this::send, replica, warnings, first));
    }
  }

  // ---- changes of the catalog ----

  /**
   * Prepares a statement and replaces any statement of that name. Preparing an equal definition
   * again changes nothing.
   *
   * @param onOutcome receives the outcome; its id is the generation
   */
  public void prepare(long now, Definition definition, Consumer<Outcome> onOutcome) {
    prepare(now, definition, ANY_GENERATION, onOutcome);
  }

  /**
   * Prepares a statement if its name has the expected generation.
   *
   * @param expectedGeneration the generation that it replaces, 0 if the name must be free, {@link
   *     #ANY_GENERATION} for any
   * @param onOutcome receives the outcome; its id is the generation
   */
  public void prepare(
      long now, Definition definition, long expectedGeneration, Consumer<Outcome> onOutcome) {
    clock.advanceTo(now);
    requests.prepare(definition, expectedGeneration, onOutcome);
  }

  /**
   * Drops a statement.
   *
   * @param expectedGeneration the generation to drop, {@link #ANY_GENERATION} for any
   * @param onOutcome receives the outcome; its id is the dropped generation
   */
  public void drop(long now, String name, long expectedGeneration, Consumer<Outcome> onOutcome) {
    clock.advanceTo(now);
    requests.submit(new Command.Drop(name, expectedGeneration), onOutcome);
  }

  /**
   * Announces a change of the schema of some groups.
   *
   * @param onOutcome receives the outcome; its id is the number of the change
   */
  public void announce(long now, Change change, Consumer<Outcome> onOutcome) {
    clock.advanceTo(now);
    requests.announce(change, onOutcome);
  }

  /**
   * Withdraws an announced change; refused if it has taken effect.
   *
   * @param change the number of the change
   * @param onOutcome receives the outcome; its id is the number of the change
   */
  public void withdraw(long now, long change, Consumer<Outcome> onOutcome) {
    clock.advanceTo(now);
    requests.submit(new Command.TakeBack(change), onOutcome);
  }

  // ---- runs ----

  /**
   * Returns the statement of that name, as known to this gateway, and starts to request the leases
   * that a run of it needs.
   *
   * @return empty if this gateway knows no statement of that name
   */
  public Optional<Prepared> lookUp(String name) {
    return runAuthorizer.lookUp(name);
  }

  /**
   * Checks whether an attempt of the statement may be written now. The caller checks when the
   * request arrives, immediately before it writes each attempt, and immediately after the write
   * with the clock read again, because the process may have been paused during the write. After the
   * write, the permission must still be granted, or its end must not have passed.
   */
  public Permission checkRun(long now, Prepared prepared) {
    return runAuthorizer.check(now, prepared);
  }

  /** Records that an attempt is written, so that its leases are not released before it ends. */
  public void onAttemptStarted(Prepared prepared) {
    runAuthorizer.onAttemptStarted(prepared);
  }

  /**
   * Records that a started attempt ended at this gateway. Its engine may still execute it.
   *
   * @param mayRunUntil the latest time at which the engine may execute the attempt; 0 if it
   *     certainly does not execute it any more
   */
  public void onAttemptEnded(long now, Prepared prepared, long mayRunUntil) {
    clock.advanceTo(now);
    runAuthorizer.onAttemptEnded(prepared, mayRunUntil);
  }

  // ---- state and statistics ----

  /** Returns the state of a table group's schema, as known to this gateway. */
  public SchemaState schema(int group) {
    Catalog catalog = catalog();
    TreeMap<Long, Change> waiting = new TreeMap<>(catalog.waiting());
    waiting.values().removeIf(change -> !change.groups().contains(group));
    return new SchemaState(
        group,
        catalog.version(group),
        waiting,
        leases.validUntil(group, catalog.version(group)),
        catalog.statements().values().stream()
            .map(entry -> entry.definition())
            .filter(definition -> definition.groups().contains(group))
            .map(Definition::name)
            .toList());
  }

  /** Returns this gateway's catalog; another gateway may have applied later log entries. */
  public Catalog catalog() {
    return replica.catalog();
  }

  /** Returns the names of all prepared statements, in order. */
  public List<String> names() {
    return new ArrayList<>(catalog().statements().keySet());
  }

  /** Returns how often a lease of this gateway expired, was released or was dropped. */
  public long leasesLost() {
    return leases.losses();
  }

  /** Returns whether this gateway considers itself the leader of the log. */
  public boolean isLeader() {
    return participant.voter().map(RaftVoter::isLeader).orElse(false);
  }

  /** Returns this gateway's voter; empty if this gateway is a learner. */
  public Optional<RaftVoter> voter() {
    return participant.voter();
  }

  /** Returns whether no client's request is waiting for its outcome. */
  public boolean isIdle() {
    return queue.isIdle();
  }

  /** Returns how many statements this gateway prepared again for the cluster after changes. */
  public long repreparedCount() {
    return participant.repreparedCount();
  }

  /** Returns how many received messages were malformed. */
  public long malformedMessages() {
    return malformedMessages;
  }

  /** Returns how often this process was paused. */
  public long pauses() {
    return pauses;
  }

  // ---- messages ----

  /** Sends a message to a gateway; handles it immediately if that is this gateway. */
  private void send(String to, StatementMessage message) {
    if (to.equals(voters.self())) {
      onMessage(to, message);
    } else {
      sender.send(to, StatementCodec.write(message));
    }
  }

  /** Sends a proposal to the leader if it is known, otherwise to the voters in turn. */
  private void propose(long number, Command command) {
    send(
        participant.leader().orElseGet(this::nextVoter),
        new Propose(leases.holderId(), number, command, false));
  }

  private String nextVoter() {
    lastProposedVoter = (lastProposedVoter + 1) % voters.count();
    return voters.names().get(lastProposedVoter);
  }

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    clock.set(now);
    try {
      onMessage(from, StatementCodec.read(body));
    } catch (MalformedMessageException e) {
      malformedMessages++;
    }
  }

  private void onMessage(String from, StatementMessage message) {
    if (message instanceof Lease response) {
      leases.onGrant(clock.now(), from, response);
    } else {
      participant.onMessage(from, message);
    }
  }

  // ---- time ----

  @Override
  public void tick(long now, long wall) {
    clock.set(now);
    participant.tick();
    leases.tick(now, catalog());
    queue.tick(now);
  }

  @Override
  public long nextDueAt() {
    return Math.min(Math.min(leases.nextDueAt(), queue.nextDueAt()), participant.nextDueAt());
  }

  @Override
  public void onPause(long now, long wall, long duration) {
    clock.set(now);
    pauses++;
    leases.onPause(now);
    participant.onPause();
  }

  /** Reports the outcome of all pending requests as unknown, because this process ends soon. */
  public void failPendingRequests(long now) {
    clock.advanceTo(now);
    queue.failAll(clock.now());
  }

  /**
   * Releases all leases, because this process ends and writes no further attempts. A lease under
   * which an attempt may still be executed is not released and expires.
   */
  public void releaseLeases(long now) {
    clock.advanceTo(now);
    leases.onShutdown(clock.now());
  }
}
