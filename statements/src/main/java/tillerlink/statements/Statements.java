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
 * Prepared statements of a cluster, kept right while schemas change: the catalog is the same on
 * every gateway, and no statement is run under a schema that is no longer in effect.
 *
 * <p>It does no I/O itself and is owned by the gateway's event loop: every method is called from
 * that thread alone, and {@link #tick} follows whatever the durable store reports as written. Times
 * are in tenths of a millisecond, by the gateway's clock.
 */
public final class Statements implements ClusterComponent {
  /** Stands for any generation in {@link #prepare} and {@link #drop}. */
  public static final long ANY_GENERATION = -1;

  private final Voters voters;
  private final MessageSender sender;
  private final EventClock clock = new EventClock();
  private final LeaseHolder leases;
  private final RequestQueue queue;
  private final CatalogReplica replica;
  private final StatementRequests requests;
  private final RunAuthorizer runs;
  private final LogParticipant participant;
  private int proposalTarget;
  private long malformedMessages;
  private long pauses;

  /**
   * Restores this gateway's part of the replicated catalog.
   *
   * @param random seeded
   * @param warnings lines for the operator's log
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
    runs = new RunAuthorizer(clock, config.lease(), replica, leases);
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
   * Prepares a statement under a name, whatever stands there; the same once more changes nothing.
   * The outcome's id is the generation.
   */
  public void prepare(long now, Definition definition, Consumer<Outcome> onOutcome) {
    prepare(now, definition, ANY_GENERATION, onOutcome);
  }

  /**
   * Prepares a statement under a name. The outcome's id is the generation.
   *
   * @param over the generation that it replaces, 0 if the name must be free, {@link
   *     #ANY_GENERATION} if it does not matter
   */
  public void prepare(long now, Definition definition, long over, Consumer<Outcome> onOutcome) {
    clock.advanceTo(now);
    requests.prepare(definition, over, onOutcome);
  }

  /**
   * Drops a statement.
   *
   * @param over the generation that is meant, {@link #ANY_GENERATION} if it does not matter
   */
  public void drop(long now, String name, long over, Consumer<Outcome> onOutcome) {
    clock.advanceTo(now);
    requests.submit(new Command.Drop(name, over), onOutcome);
  }

  /** Announces a change of the schema of some groups. The outcome's id is the change's number. */
  public void announce(long now, Change change, Consumer<Outcome> onOutcome) {
    clock.advanceTo(now);
    requests.announce(change, onOutcome);
  }

  /** Withdraws an announced change, if it has not taken effect. */
  public void withdraw(long now, long change, Consumer<Outcome> onOutcome) {
    clock.advanceTo(now);
    requests.submit(new Command.TakeBack(change), onOutcome);
  }

  // ---- runs ----

  /**
   * The statement of that name, as this gateway knows it; the leases that a run needs are requested
   * from now on.
   */
  public Optional<Prepared> lookUp(String name) {
    return runs.lookUp(name);
  }

  /**
   * Whether an attempt of the statement may be written now. To be checked when the request comes,
   * right before each attempt is written, and right after it with the clock read again: then the
   * permission must still be granted, or its end must not have passed.
   */
  public Permission checkRun(long now, Prepared prepared) {
    return runs.check(now, prepared);
  }

  /** An attempt of the statement is written: its leases are not released before it ended. */
  public void onAttemptStarted(Prepared prepared) {
    runs.onAttemptStarted(prepared);
  }

  /**
   * An attempt that was started ended at this gateway, and its engine may still execute it.
   *
   * @param mayRunUntil until when, at most; 0 if it certainly does not
   */
  public void onAttemptEnded(long now, Prepared prepared, long mayRunUntil) {
    clock.advanceTo(now);
    runs.onAttemptEnded(prepared, mayRunUntil);
  }

  // ---- state and statistics ----

  /** The schema of a table group, as this gateway knows it. */
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

  /** The catalog as this gateway knows it; another gateway may be further. */
  public Catalog catalog() {
    return replica.catalog();
  }

  /** The names of all prepared statements. */
  public List<String> names() {
    return new ArrayList<>(catalog().statements().keySet());
  }

  /** How often this gateway lost a lease that it held. */
  public long leasesLost() {
    return leases.losses();
  }

  /** Whether this gateway leads the log, as far as it knows. */
  public boolean isLeader() {
    return participant.voter().map(RaftVoter::isLeader).orElse(false);
  }

  /** This gateway's voter; empty if it does not vote. */
  public Optional<RaftVoter> voter() {
    return participant.voter();
  }

  /** Whether no request of a client waits for its outcome. */
  public boolean isIdle() {
    return queue.isIdle();
  }

  /** How many statements this gateway prepared again for the cluster after changes. */
  public long repreparedCount() {
    return participant.repreparedCount();
  }

  /** How many messages could not be read. */
  public long malformedMessages() {
    return malformedMessages;
  }

  /** How often this process was paused. */
  public long pauses() {
    return pauses;
  }

  // ---- messages ----

  private void send(String to, StatementMessage message) {
    if (to.equals(voters.self())) {
      onMessage(to, message);
    } else {
      sender.send(to, StatementCodec.write(message));
    }
  }

  /** To the leader if it is known, else to one voter after the other. */
  private void propose(long number, Command command) {
    send(
        participant.leader().orElseGet(this::nextVoter),
        new Propose(leases.holderId(), number, command, false));
  }

  private String nextVoter() {
    proposalTarget = (proposalTarget + 1) % voters.count();
    return voters.names().get(proposalTarget);
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
  public void onPause(long now, long wall, long lasted) {
    clock.set(now);
    pauses++;
    leases.onPause(now);
    participant.onPause();
  }

  /** This process ends soon: the outcome of pending requests is reported as unknown. */
  public void failPendingRequests(long now) {
    clock.advanceTo(now);
    queue.failAll(clock.now());
  }

  /**
   * This process ends and writes no attempt any more: leases are released, but for those that an
   * attempt may be left under.
   */
  public void releaseLeases(long now) {
    clock.advanceTo(now);
    leases.onShutdown(clock.now());
  }
}
