package tillerlink.statements.consensus;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.KeyValueStore;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Entry;
import tillerlink.messages.statements.Stamp;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.messages.statements.StatementMessage.Append;
import tillerlink.messages.statements.StatementMessage.Appended;
import tillerlink.messages.statements.StatementMessage.AskPiece;
import tillerlink.messages.statements.StatementMessage.AskVote;
import tillerlink.messages.statements.StatementMessage.Fetch;
import tillerlink.messages.statements.StatementMessage.Hello;
import tillerlink.messages.statements.StatementMessage.Offer;
import tillerlink.messages.statements.StatementMessage.Piece;
import tillerlink.messages.statements.StatementMessage.Seen;
import tillerlink.messages.statements.StatementMessage.Stage;
import tillerlink.messages.statements.StatementMessage.Vote;
import tillerlink.statements.testing.InjectedFault;

/**
 * One voter of the log: Raft's terms, votes and replication, with a vote asked about before a term
 * is raised, and with {@link VoterRejoin} before it takes part.
 */
public final class RaftVoter {
  static final long HEARTBEAT = 1000;
  static final long ELECTION_LEAST = 7000;
  private static final long ELECTION_SPREAD = 7000;
  private static final long REWRITE_AGAIN = 10_000;

  private enum Role {
    FOLLOWER,
    ASKING,
    CANDIDATE,
    LEADER
  }

  private final Voters voters;
  private final int self;
  private final RandomGenerator random;
  private final Outbox out;
  private final StateMachine machine;
  private final RaftConfig terms;
  private final Consumer<String> notes;
  private final DurableState disk;
  private final Log log;
  private final Identity identity;
  private final Ballot ballot;
  private final Membership membership;
  private final VoterRejoin homecoming;
  private final SnapshotFetcher pieces;
  private final LeaderState leading;
  private final LearnerService serving;
  private Role role = Role.FOLLOWER;
  private String leader = "";
  private long commit;
  private long heardLeaderAt = Long.MIN_VALUE / 2;
  private long electionAt;
  private long rewriteAt;
  private long now;

  /** The position that a voter from a doubtful disk must reach before it is as any other. */
  private long duty;

  private long dutyTerm;
  private long backSince = -1;

  /**
   * @throws MalformedMessageException if what the disk holds can't be read
   */
  public RaftVoter(
      RaftConfig terms,
      Voters voters,
      Outbox out,
      KeyValueStore keep,
      RandomGenerator random,
      StateMachine machine,
      Consumer<String> notes)
      throws MalformedMessageException {
    this.voters = voters;
    this.terms = terms;
    this.out = out;
    this.random = random;
    this.machine = machine;
    this.notes = notes;
    self = voters.place(voters.self());
    disk = new DurableState(keep, terms.has(InjectedFault.ANSWERS_BEFORE_KEPT));
    log = new Log(disk, new Snapshot(0, 0, 0, 0, 0, List.of(), machine.state()));
    identity = new Identity(voters, disk, random);
    ballot = new Ballot(disk);
    membership =
        new Membership(
            voters, log, identity.stage() == Stage.FOUNDED ? identity.pledge() : List.of());
    homecoming = new VoterRejoin(voters, identity, disk, out, random, new Back());
    pieces = new SnapshotFetcher(out);
    leading = new LeaderState(voters, self, terms, log, membership);
    serving = new LearnerService(out);
    if (log.snapshot().index() > 0) {
      machine.install(log.snapshot().state());
    }
    commit = machine.applied();
  }

  private final class Back implements VoterRejoin.Host {
    @Override
    public void returned(long term, long lastTerm, long lastIndex) {
      ballot.noVotesUpTo(term);
      dutyTerm = lastTerm;
      duty = lastIndex;
      backSince = now;
      electionLater();
    }

    @Override
    public void founded(List<Long> disks) {
      membership.found(disks);
    }

    @Override
    public void told(String words) {
      notes.accept(words);
    }
  }

  // ---- what others may ask ----

  public boolean isLeader() {
    return role == Role.LEADER;
  }

  public Optional<String> leader() {
    return isLeader()
        ? Optional.of(voters.self())
        : leader.isEmpty() ? Optional.empty() : Optional.of(leader);
  }

  public long term() {
    return ballot.term();
  }

  public long commit() {
    return commit;
  }

  /**
   * Whether what this voter says of leases can be relied on: it is back, and holds all that it ever
   * held.
   */
  public boolean isSound() {
    return isBack() && !disk.failed() && meetsDuty();
  }

  private boolean isBack() {
    return backSince >= 0;
  }

  /** Since when it is back on this start; -1 if it isn't. */
  public long backSince() {
    return backSince;
  }

  public String name() {
    return voters.self();
  }

  public long disk() {
    return identity.disk();
  }

  public List<Long> members() {
    return membership.members();
  }

  public long membersVersion() {
    return membership.version();
  }

  public Stamp stamp() {
    return identity.stamp();
  }

  /** Whether the log says that this one votes with that disk. */
  public boolean isMember(String name, long itsDisk) {
    return membership.isMember(voters.place(name), itsDisk);
  }

  /** Whether an announcement that blocks the group stands in the log, committed or not. */
  public boolean announcedBehind(long applied, int group) {
    for (long i = Math.max(applied, log.base()) + 1; i <= log.lastIndex(); i++) {
      if (log.get(i).command() instanceof Command.Announce it
          && it.change().groups().contains(group)) {
        return true;
      }
    }
    return false;
  }

  /** Runs it once all that this voter took in up to now outlives a crash. */
  public void whenKept(Runnable what) {
    disk.then(what);
  }

  private boolean meetsDuty() {
    if (duty > 0) {
      long durable = log.durable();
      if (!Log.reaches(log.term(durable), durable, dutyTerm, duty)) {
        return false;
      }
      duty = 0;
      dutyTerm = 0;
    }
    return true;
  }

  // ---- proposals ----

  /**
   * @return false if this is not the leader
   */
  public boolean propose(long at, long origin, long number, Command command) {
    now = at;
    if (role != Role.LEADER || disk.failed() || !leading.hasRoom(commit)) {
      return false;
    }
    append(origin, number, command);
    leading.replicate(now, this::sendAppend);
    advance();
    return true;
  }

  private void append(long origin, long number, Command command) {
    log.append(new Entry(log.lastIndex() + 1, ballot.term(), origin, number, command));
    if (command instanceof Command.Readmit) {
      membership.changed();
    }
  }

  // ---- time ----

  public void turn(long at) {
    now = at;
    if (electionAt == 0) {
      electionLater();
    }
    if (disk.failed()) {
      rewrite();
      return;
    }
    if (terms.vouched() || terms.has(InjectedFault.TRUSTS_OLD_DISK)) {
      homecoming.vouched();
    }
    homecoming.turn(now);
    pieces.turn(now);
    if (role == Role.LEADER) {
      lead();
    } else if (now >= electionAt) {
      stand();
    }
    advance();
  }

  public long dueAt() {
    if (disk.failed()) {
      return rewriteAt;
    }
    long own = role == Role.LEADER ? leading.dueAt() : electionAt;
    return Math.min(Math.min(own, homecoming.dueAt()), pieces.dueAt());
  }

  /** Nothing that ran while this process was away is known: it waits before it stands. */
  public void away(long at) {
    now = at;
    if (role == Role.LEADER) {
      follow(ballot.term(), "");
    }
    heardLeaderAt = now;
    electionLater();
  }

  private void electionLater() {
    electionAt = now + ELECTION_LEAST + random.nextLong(ELECTION_SPREAD);
  }

  private void rewrite() {
    if (role == Role.LEADER) {
      follow(ballot.term(), "");
    }
    if (now < rewriteAt) {
      return;
    }
    rewriteAt = now + REWRITE_AGAIN;
    notes.accept(
        "this voter's disk refused a write: it takes no part until the disk takes writes again");
    disk.again();
    ballot.keep();
    identity.rewrite();
    log.rewrite();
  }

  private void lead() {
    if (leading.lostMajority(now)) {
      follow(ballot.term(), "");
      electionLater();
      return;
    }
    leading.replicate(now, this::sendAppend);
  }

  // ---- elections ----

  private boolean mayStand() {
    return isBack()
        && meetsDuty()
        && membership.isMember(self, identity.disk())
        && membership.excluded(commit) != self;
  }

  private void stand() {
    electionLater();
    if (!mayStand()) {
      return;
    }
    role = Role.ASKING;
    leader = "";
    ballot.got.clear();
    count(self);
    askVotes(true, ballot.term() + 1);
  }

  private void askVotes(boolean pre, long term) {
    for (String name : voters.names()) {
      if (!name.equals(voters.self())) {
        out.send(name, new AskVote(identity.stamp(), term, log.lastTerm(), log.lastIndex(), pre));
      }
    }
  }

  private void count(int place) {
    ballot.got.set(place);
    int excluded = membership.excluded(commit);
    int votes = ballot.got.cardinality() - (excluded >= 0 && ballot.got.get(excluded) ? 1 : 0);
    if (votes < voters.quorum()) {
      return;
    }
    if (role == Role.ASKING) {
      role = Role.CANDIDATE;
      ballot.termIs(ballot.term() + 1);
      ballot.vote(voters.self());
      long term = ballot.term();
      disk.then(
          () -> {
            if (role == Role.CANDIDATE && ballot.term() == term) {
              askVotes(false, term);
              count(self);
            }
          });
    } else if (role == Role.CANDIDATE) {
      role = Role.LEADER;
      leader = voters.self();
      leading.start(now);
      append(0, 0, new Command.Nothing());
      leading.replicate(now, this::sendAppend);
    }
  }

  private void askedVote(String from, int place, AskVote ask) {
    boolean member = membership.isMember(place, ask.stamp().disk());
    boolean hears = role == Role.LEADER || now - heardLeaderAt < ELECTION_LEAST;
    if (!isBack() || !member || hears) {
      return;
    }
    boolean upToDate =
        Log.reaches(ask.lastTerm(), ask.lastIndex(), log.lastTerm(), log.lastIndex())
            && (meetsDuty() || Log.reaches(ask.lastTerm(), ask.lastIndex(), dutyTerm, duty));
    if (ask.pre()) {
      out.send(
          from,
          new Vote(identity.stamp(), ask.term(), true, upToDate && ask.term() > ballot.term()));
      return;
    }
    if (ask.term() > ballot.term()) {
      follow(ask.term(), "");
    }
    boolean given =
        ask.term() == ballot.term()
            && upToDate
            && (ballot.mayVoteFor(from) || terms.has(InjectedFault.VOTES_TWICE));
    if (given) {
      ballot.vote(from);
      electionLater();
    }
    long term = ballot.term();
    disk.then(() -> out.send(from, new Vote(identity.stamp(), term, false, given)));
  }

  private void voted(int place, Vote vote) {
    if (!vote.pre() && vote.term() > ballot.term()) {
      follow(vote.term(), "");
    }
    boolean mine =
        vote.pre()
            ? role == Role.ASKING && vote.term() == ballot.term() + 1
            : role == Role.CANDIDATE && vote.term() == ballot.term();
    if (mine && vote.given() && membership.isMember(place, vote.stamp().disk())) {
      count(place);
    }
  }

  private void follow(long term, String whom) {
    if (term > ballot.term()) {
      ballot.termIs(term);
    }
    if (role != Role.FOLLOWER) {
      role = Role.FOLLOWER;
      electionLater();
    }
    leader = whom;
  }

  // ---- replication ----

  private void sendAppend(String to, Progress progress) {
    long sequence = leading.nextSequence();
    progress.sent(now, sequence);
    if (progress.next <= log.base()) {
      out.send(
          to,
          new Offer(
              identity.stamp(), ballot.term(), log.snapshot().index(), log.snapshotBytes().length));
      return;
    }
    long before = progress.next - 1;
    List<Entry> some = log.from(progress.next, log.lastIndex(), progress.maxBytes());
    out.send(
        to,
        new Append(
            identity.stamp(), ballot.term(), sequence, before, log.term(before), commit, some));
  }

  private boolean leads(String from, long term) {
    if (term < ballot.term()) {
      return false;
    }
    Invariant.holds(
        role != Role.LEADER || term > ballot.term(), () -> "two leaders in term " + term);
    Invariant.holds(
        term > ballot.term() || leader.isEmpty() || leader.equals(from),
        () -> "two leaders in term " + term + ": " + leader + " and " + from);
    follow(term, from);
    heardLeaderAt = now;
    electionLater();
    return true;
  }

  private boolean takesEntries() {
    return isBack() || identity.stage() == Stage.LOST;
  }

  private void appended(String from, Append append) {
    if (!takesEntries()) {
      return;
    }
    if (!leads(from, append.term())) {
      out.send(from, new Appended(identity.stamp(), ballot.term(), append.sequence(), false, 0));
      return;
    }
    long before = append.prevIndex();
    boolean there =
        before <= log.base()
            || log.term(before) == append.prevTerm()
            || terms.has(InjectedFault.APPENDS_UNCOMPARED) && before <= log.lastIndex();
    if (!there) {
      long hint = Math.max(log.base(), Math.min(log.lastIndex(), before - 1));
      long term = ballot.term();
      disk.then(
          () ->
              out.send(from, new Appended(identity.stamp(), term, append.sequence(), false, hint)));
      return;
    }
    boolean readmits = false;
    for (Entry entry : append.entries()) {
      readmits |= take(entry);
    }
    if (readmits) {
      membership.changed();
    }
    long match = before + append.entries().size();
    commit = Math.max(commit, Math.min(append.commit(), match));
    answer(from, append.sequence(), match);
  }

  private boolean take(Entry entry) {
    if (entry.index() <= log.base() || log.term(entry.index()) == entry.term()) {
      return false;
    }
    boolean readmits = entry.command() instanceof Command.Readmit;
    if (entry.index() <= log.lastIndex()) {
      Invariant.holds(
          entry.index() > commit, () -> "what is committed is written over at " + entry.index());
      readmits = true;
      log.truncateFrom(entry.index());
    }
    if (entry.index() == log.lastIndex() + 1) {
      log.append(entry);
    }
    return readmits;
  }

  private void answer(String from, long sequence, long match) {
    long term = ballot.term();
    disk.then(
        () -> {
          if (term == ballot.term()) {
            out.send(from, new Appended(identity.stamp(), term, sequence, true, match));
          }
        });
  }

  private void acknowledged(int place, Appended ack) {
    if (ack.term() > ballot.term()) {
      follow(ack.term(), "");
      electionLater();
      return;
    }
    if (role == Role.LEADER
        && ack.term() == ballot.term()
        && membership.isMember(place, ack.stamp().disk())) {
      leading.acknowledged(now, place, ack);
      advance();
      leading.replicate(now, this::sendAppend);
    }
  }

  /** Raises what is committed, and applies what is committed and kept here. */
  private void advance() {
    if (role == Role.LEADER) {
      long most = leading.committed(commit, ballot.term());
      if (most > commit) {
        commit = most;
        leading.beatSoon();
      }
    }
    long upTo = Math.min(commit, log.durable());
    boolean moved = false;
    while (machine.applied() < upTo) {
      Entry entry = log.get(machine.applied() + 1);
      machine.apply(entry);
      moved = true;
    }
    if (!moved) {
      return;
    }
    long applied = machine.applied();
    if (identity.stage() == Stage.LOST && admitted(applied)) {
      homecoming.admitted(membership.membersAt(applied));
    }
    if (log.isLong(applied)) {
      log.compact(
          new Snapshot(
              applied,
              log.term(applied),
              0,
              0,
              membership.versionAt(applied),
              membership.membersAt(applied),
              machine.state()));
      membership.changed();
    }
    serving.moved(now, applied);
  }

  private boolean admitted(long applied) {
    List<Long> then = membership.membersAt(applied);
    return self < then.size() && then.get(self) == identity.disk();
  }

  private void install(String from, byte[] whole) {
    try {
      Snapshot snapshot = Snapshot.read(whole);
      if (snapshot.index() <= machine.applied()) {
        return;
      }
      machine.install(snapshot.state());
      log.install(snapshot);
      membership.changed();
      commit = Math.max(commit, snapshot.index());
      if (identity.stage() == Stage.LOST && admitted(snapshot.index())) {
        homecoming.admitted(snapshot.members());
      }
      answer(from, 0, snapshot.index());
    } catch (MalformedMessageException e) {
      notes.accept("a snapshot of " + from + " can't be read: " + e.getMessage());
    }
  }

  // ---- messages ----

  /**
   * @return false if it is none of the log's
   */
  public boolean told(long at, String from, StatementMessage message) {
    now = at;
    if (message instanceof Fetch fetch) {
      serving.fetched(now, from, fetch, log, machine.applied());
    } else if (message instanceof AskPiece ask) {
      out.send(from, SnapshotFetcher.answer(ask, log.snapshot().index(), log.snapshotBytes()));
    } else if (message instanceof Piece piece) {
      byte[] whole = pieces.took(now, from, piece);
      if (whole != null) {
        install(from, whole);
      }
    } else {
      return stamped(from, voters.place(from), message);
    }
    return true;
  }

  private boolean stamped(String from, int place, StatementMessage message) {
    if (place < 0 || place == self || disk.failed()) {
      return false;
    }
    if (message instanceof Hello it && notes(place, it.stamp(), it)) {
      greeted(from, it);
    } else if (message instanceof Seen it && notes(place, it.stamp(), null)) {
      homecoming.answered(place, it);
    } else if (message instanceof AskVote it && notes(place, it.stamp(), null)) {
      askedVote(from, place, it);
    } else if (message instanceof Vote it && notes(place, it.stamp(), null)) {
      voted(place, it);
    } else if (message instanceof Append it && notes(place, it.stamp(), null)) {
      appended(from, it);
    } else if (message instanceof Appended it && notes(place, it.stamp(), null)) {
      acknowledged(place, it);
    } else if (message instanceof Offer it && notes(place, it.stamp(), null)) {
      offered(from, it);
    } else {
      return false;
    }
    return true;
  }

  /**
   * What the others saw of each other's starts: a voter that started anew has taken back what it
   * said before.
   */
  private boolean notes(int place, Stamp stamp, Hello hello) {
    if (stamp.voters() != voters.hash() || stamp.seen().size() != voters.count()) {
      return false;
    }
    for (int i = 0; i < voters.count(); i++) {
      long seen = i == place ? stamp.boots() : stamp.seen().get(i);
      if (i != self && i != place && seen > identity.boots(i)) {
        started(i, seen);
      }
    }
    if (hello == null && stamp.boots() > identity.boots(place)) {
      started(place, stamp.boots());
    }
    return hello != null || stamp.boots() >= identity.boots(place);
  }

  private void started(int place, long boots) {
    identity.bootsAre(place, boots);
    ballot.got.clear(place);
    leading.forget(place);
  }

  private void greeted(String from, Hello hello) {
    int place = voters.place(from);
    long known = homecoming.knownBefore(place, hello, identity.boots(place));
    if (hello.stamp().boots() > identity.boots(place)) {
      started(place, hello.stamp().boots());
    }
    Seen seen =
        new Seen(
            identity.stamp(),
            hello.nonce(),
            identity.stage(),
            known,
            ballot.term(),
            leading.matchOf(place),
            ballot.term(),
            log.lastTerm(),
            log.lastIndex(),
            identity.pledge(),
            membership.members(),
            membership.version());
    disk.then(() -> out.send(from, seen));
    boolean strange =
        hello.stage() == Stage.LOST && !membership.isMember(place, hello.stamp().disk());
    if (role == Role.LEADER && strange && leading.mayReadmit(now, place, commit, ballot.term())) {
      append(0, 0, new Command.Readmit(from, hello.stamp().disk()));
      leading.replicate(now, this::sendAppend);
    }
  }

  private void offered(String from, Offer offer) {
    if (takesEntries() && leads(from, offer.term())) {
      if (offer.index() > machine.applied()) {
        pieces.start(now, from, offer.index(), offer.size());
      } else {
        answer(from, 0, Math.min(offer.index(), machine.applied()));
      }
    }
  }
}
