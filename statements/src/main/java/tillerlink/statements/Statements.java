package tillerlink.statements;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.CommandCodec;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.Entry;
import tillerlink.messages.statements.StatementCodec;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.messages.statements.StatementMessage.AskLease;
import tillerlink.messages.statements.StatementMessage.Clear;
import tillerlink.messages.statements.StatementMessage.Lease;
import tillerlink.messages.statements.StatementMessage.Propose;
import tillerlink.messages.statements.StatementMessage.Release;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.catalog.Snapshots;
import tillerlink.statements.catalog.State;
import tillerlink.statements.consensus.Learner;
import tillerlink.statements.consensus.RaftVoter;
import tillerlink.statements.consensus.StateMachine;
import tillerlink.statements.consensus.Voters;
import tillerlink.statements.lease.LeaseGrantor;
import tillerlink.statements.lease.LeaseHolder;
import tillerlink.statements.prepare.Definitions;
import tillerlink.statements.prepare.Preparer;
import tillerlink.statements.prepare.Template;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/**
 * Prepared statements of a fleet, kept right while schemas change: the catalog is the same
 * everywhere, and no statement is run under a schema that is no longer in effect. A turn has to
 * follow whatever the durable table says is kept.
 */
public final class Statements implements ClusterComponent {
  private static final long CLEAR_AGAIN = 3000;

  /** When a come-back is worth it where nothing better is known. */
  private static final long SOON = 500;

  private final StatementTerms terms;
  private final Voters voters;
  private final MessageSender post;
  private final LeaseHolder holding;
  private final Requests requests;
  private final RaftVoter consensus;
  private final LeaseGrantor granting;
  private final LeaderTasks duties;
  private final Learner learner;
  private final Map<String, Prepared> templates = new TreeMap<>();
  private Catalog catalog = new Catalog();
  private long now;
  private int asked;
  private long clearAt;
  private List<Long> clearSaid = List.of();
  private long malformed;
  private long pauses;

  /**
   * @param random seeded
   * @param notes lines for the operator's log
   * @throws MalformedMessageException if what the disk holds can't be read
   */
  public Statements(
      StatementTerms terms,
      MembershipView membership,
      MessageSender post,
      KeyValueStore keep,
      RandomGenerator random,
      Preparer preparer,
      Consumer<String> notes)
      throws MalformedMessageException {
    this.terms = terms;
    this.post = post;
    voters = new Voters(terms.voters(), membership.self());
    holding = new LeaseHolder(terms.lease(), terms.terms(), voters, this::send, random);
    requests = new Requests(holding.holder(), this::propose);
    Applying applying = new Applying();
    if (voters.includesSelf()) {
      consensus = new RaftVoter(terms.terms(), voters, this::send, keep, random, applying, notes);
      granting = new LeaseGrantor(terms.lease(), terms.terms(), consensus);
      duties = new LeaderTasks(terms, voters, consensus, preparer);
      learner = null;
    } else {
      consensus = null;
      granting = null;
      duties = null;
      learner = new Learner(voters, this::send, applying, notes, random.nextInt(voters.count()));
    }
  }

  /** The catalog as the log's machine. */
  private final class Applying implements StateMachine {
    @Override
    public void apply(Entry entry) {
      Change change =
          entry.command() instanceof Command.Effect it ? catalog.waiting().get(it.change()) : null;
      boolean effect = catalog.apply(entry).verdict() == Outcome.Verdict.DONE && change != null;
      if (effect) {
        holding.tookEffect(now, change.groups());
        if (granting != null) {
          granting.tookEffect(now, ((Command.Effect) entry.command()).change(), change);
        }
      }
      requests.applied(now, catalog);
    }

    @Override
    public long applied() {
      return catalog.applied();
    }

    @Override
    public byte[] state() {
      return Snapshots.write(catalog);
    }

    @Override
    public void install(byte[] state) throws MalformedMessageException {
      Catalog next = Snapshots.read(state);
      for (Map.Entry<Integer, Long> each : next.versions().entrySet()) {
        if (each.getValue() > catalog.version(each.getKey())) {
          holding.tookEffect(now, List.of(each.getKey()));
        }
      }
      Catalog old = catalog;
      next.statements()
          .forEach(
              (name, standing) ->
                  Invariant.holds(
                      old.find(name).isEmpty()
                          || old.find(name).get().generation() <= standing.generation(),
                      () -> name + " falls"));
      catalog = next;
      requests.applied(now, catalog);
    }
  }

  // ---- what is prepared ----

  /**
   * Prepares a statement under a name; the same once more changes nothing. The outcome's id is the
   * generation.
   */
  public void prepare(long at, Definition definition, Consumer<Outcome> told) {
    prepare(at, definition, -1, told);
  }

  /**
   * @param over the generation that it replaces, 0 if the name must be free, -1 if it doesn't
   *     matter
   */
  public void prepare(long at, Definition definition, long over, Consumer<Outcome> told) {
    now = Math.max(now, at);
    try {
      Definitions.check(definition);
    } catch (IllegalArgumentException e) {
      told.accept(Outcome.refused(e.getMessage()));
      return;
    }
    TreeMap<Integer, Long> versions = new TreeMap<>();
    definition.groups().forEach(group -> versions.put(group, catalog.version(group)));
    ask(new Command.Prepare(definition, versions, over), told);
  }

  /**
   * @param over the generation that is meant, -1 if it doesn't matter
   */
  public void drop(long at, String name, long over, Consumer<Outcome> told) {
    now = Math.max(now, at);
    ask(new Command.Drop(name, over), told);
  }

  /** Announces a change of the schema of some groups. The outcome's id is its number. */
  public void announce(long at, Change change, Consumer<Outcome> told) {
    now = Math.max(now, at);
    try {
      Definitions.check(change);
    } catch (IllegalArgumentException e) {
      told.accept(Outcome.refused(e.getMessage()));
      return;
    }
    ask(new Command.Announce(change), told);
  }

  /** Takes an announced change back, if it has not taken effect. */
  public void takeBack(long at, long change, Consumer<Outcome> told) {
    now = Math.max(now, at);
    ask(new Command.TakeBack(change), told);
  }

  private void ask(Command command, Consumer<Outcome> told) {
    if (CommandCodec.command(command).done().length > Entry.MAX_BYTES - 100) {
      told.accept(Outcome.refused("it is too long"));
      return;
    }
    requests.ask(now, command, told);
  }

  // ---- runs ----

  /**
   * The statement of that name, as this gateway knows it; leases that a run needs are asked for
   * from now on.
   */
  public Optional<Prepared> lookUp(String name) {
    Optional<CatalogEntry> found = catalog.find(name);
    if (found.isEmpty()) {
      templates.remove(name);
      return Optional.empty();
    }
    CatalogEntry standing = found.get();
    standing.definition().groups().forEach(group -> holding.want(now, group, catalog));
    Prepared last = templates.get(name);
    if (last == null || last.standing() != standing) {
      last =
          new Prepared(
              standing.definition(),
              standing.generation(),
              standing.versions(),
              standing,
              Template.of(standing.definition()));
      if (templates.size() >= Catalog.STATEMENTS_MOST) {
        templates.clear();
      }
      templates.put(name, last);
    }
    return Optional.of(last);
  }

  /**
   * Whether an attempt of it may be written now. To be asked when the request comes, right before
   * each attempt is written, and right after with a fresh clock: then it must be yes still, or
   * before the end that was told.
   */
  public Permission mayRun(long at, Prepared prepared) {
    String name = prepared.definition().name();
    CatalogEntry standing = catalog.find(name).orElse(null);
    if (standing == null) {
      return no(Permission.Reason.OTHER, name + " is not prepared", 0);
    }
    if (standing.generation() != prepared.generation()
        || !standing.versions().equals(prepared.versions())) {
      return no(Permission.Reason.OTHER, name + " was prepared anew", 0);
    }
    if (standing.state() == State.INVALID) {
      return no(
          Permission.Reason.INVALID,
          "change " + standing.change() + " made " + name + " invalid",
          0);
    }
    if (standing.state() == State.ANEW) {
      return no(Permission.Reason.ANEW, name + " is being prepared anew", SOON);
    }
    long until = Long.MAX_VALUE;
    for (Map.Entry<Integer, Long> each : prepared.versions().entrySet()) {
      long end = holding.heldUntil(each.getKey(), each.getValue()) - terms.lease().margin();
      // None is begun under a change that is announced, though the lease may go on: attempts that
      // are
      // out must end.
      if (end <= at || catalog.blocked(each.getKey())) {
        return withoutLease(at, each.getKey());
      }
      until = Math.min(until, end);
    }
    return new Permission.Yes(until);
  }

  private Permission withoutLease(long at, int group) {
    holding.want(at, group, catalog);
    if (catalog.blocked(group)) {
      return no(
          Permission.Reason.CHANGING,
          "the schema of group " + group + " is changing",
          terms.lease().length() / 4);
    }
    holding.askSoon(at);
    boolean heard = at - holding.heardAt() < terms.lease().length();
    return no(
        Permission.Reason.UNKNOWN,
        "this gateway holds no lease on group " + group,
        heard ? SOON : terms.lease().length() / 2);
  }

  private static Permission no(Permission.Reason why, String words, long retryAfter) {
    return new Permission.No(why, words, retryAfter);
  }

  /** An attempt of it is written: leases are not given back early before it ended. */
  public void began(Prepared prepared) {
    prepared.definition().groups().forEach(group -> holding.running(group, 1));
  }

  /**
   * An attempt that began is over here, and its engine may still be at it.
   *
   * @param mayRunUntil up to when, at the most; 0 if it surely is not
   */
  public void ended(long at, Prepared prepared, long mayRunUntil) {
    now = Math.max(now, at);
    for (int group : prepared.definition().groups()) {
      if (mayRunUntil > 0) {
        holding.inDoubt(now, group, mayRunUntil);
      }
      holding.running(group, -1);
    }
  }

  // ---- how it stands ----

  public SchemaState schema(int group) {
    TreeMap<Long, Change> waiting = new TreeMap<>(catalog.waiting());
    waiting.values().removeIf(change -> !change.groups().contains(group));
    return new SchemaState(
        group,
        catalog.version(group),
        waiting,
        holding.heldUntil(group, catalog.version(group)),
        catalog.statements().values().stream()
            .filter(it -> it.definition().groups().contains(group))
            .map(it -> it.definition().name())
            .toList());
  }

  /** As this gateway knows it; another may be further. */
  public Catalog catalog() {
    return catalog;
  }

  /** How often this gateway lost a lease that it held. */
  public long leasesLost() {
    return holding.losses();
  }

  public boolean isLeader() {
    return consensus != null && consensus.isLeader();
  }

  public Optional<RaftVoter> voter() {
    return Optional.ofNullable(consensus);
  }

  public boolean isIdle() {
    return requests.isIdle();
  }

  /** How many statements this gateway prepared anew for the fleet. */
  public long preparedAnew() {
    return duties == null ? 0 : duties.preparedAnew();
  }

  /** Messages that could not be read. */
  public long malformed() {
    return malformed;
  }

  public long pauses() {
    return pauses;
  }

  // ---- the part ----

  private void send(String to, StatementMessage message) {
    if (to.equals(voters.self())) {
      onMessage(to, message);
    } else {
      post.send(to, StatementCodec.write(message));
    }
  }

  @Override
  public void onMessage(long at, long wall, String from, byte[] body) {
    now = at;
    try {
      onMessage(from, StatementCodec.read(body));
    } catch (MalformedMessageException e) {
      malformed++;
    }
  }

  private void onMessage(String from, StatementMessage message) {
    if (message instanceof Lease it) {
      holding.granted(now, from, it);
    } else if (consensus == null) {
      learner.onMessage(now, from, message);
    } else if (message instanceof AskLease it) {
      Lease answer = granting.asked(now, it, catalog);
      if (answer != null) {
        consensus.whenDurable(() -> send(from, answer));
      }
    } else if (message instanceof Release it) {
      granting.released(it);
    } else if (message instanceof Clear it) {
      duties.cleared(from, it.stamp().disk(), it.changes(), catalog);
    } else if (message instanceof Propose it) {
      proposed(it);
    } else {
      consensus.onMessage(now, from, message);
    }
  }

  private void proposed(Propose it) {
    if (catalog.answer(it.origin(), it.number()).isPresent()) {
      return;
    }
    if (!consensus.propose(now, it.origin(), it.number(), it.command()) && !it.onward()) {
      consensus
          .leader()
          .filter(name -> !name.equals(voters.self()))
          .ifPresent(name -> send(name, new Propose(it.origin(), it.number(), it.command(), true)));
    }
  }

  /** To the leader if it is known, else to one voter after the other. */
  private void propose(long at, long number, Command command) {
    String to = consensus == null ? null : consensus.leader().orElse(null);
    if (to == null) {
      asked = (asked + 1) % voters.count();
      to = voters.names().get(asked);
    }
    send(to, new Propose(holding.holder(), number, command, false));
  }

  @Override
  public void tick(long at, long wall) {
    now = at;
    if (consensus != null) {
      consensus.tick(now);
      duties.turn(now, catalog);
      sayClear();
    } else {
      learner.tick(now);
    }
    holding.turn(now, catalog);
    requests.turn(now);
  }

  /** Told to every voter that may be the leader, again and again until the change is settled. */
  private void sayClear() {
    List<Long> clear = catalog.waiting().isEmpty() ? List.of() : granting.clearOf(now, catalog);
    if (clear.isEmpty() || clear.equals(clearSaid) && now < clearAt) {
      return;
    }
    clearSaid = clear;
    clearAt = now + CLEAR_AGAIN;
    String to = consensus.leader().orElse(null);
    if (to != null) {
      consensus.whenDurable(() -> send(to, new Clear(consensus.stamp(), clear)));
    }
  }

  @Override
  public long nextDueAt() {
    long due = Math.min(holding.dueAt(), requests.dueAt());
    if (consensus == null) {
      return Math.min(due, learner.nextDueAt());
    }
    due = Math.min(due, Math.min(consensus.nextDueAt(), duties.dueAt()));
    return catalog.waiting().isEmpty()
        ? due
        : Math.min(
            due,
            Math.min(
                clearSaid.isEmpty() ? Long.MAX_VALUE : clearAt,
                granting.dueAt(now, catalog.waiting())));
  }

  @Override
  public void onPause(long at, long wall, long lasted) {
    now = at;
    pauses++;
    holding.away(now);
    if (consensus != null) {
      consensus.onPause(now);
    }
  }

  /** This process ends soon: who waits for word of a request is told that none came. */
  public void timeUp(long at) {
    now = Math.max(now, at);
    requests.end(now);
  }

  /**
   * This process ends, nothing is written any more: leases that no attempt may be out under are
   * given back.
   */
  public void leave(long at) {
    now = Math.max(now, at);
    holding.leave(now);
  }

  /** For a reader of the log: names and what stands under them. */
  public List<String> names() {
    return new ArrayList<>(catalog.statements().keySet());
  }
}
