package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import tillerlink.messages.statements.StatementMessage.Hello;
import tillerlink.messages.statements.StatementMessage.Seen;
import tillerlink.messages.statements.StatementMessage.Stage;

/**
 * The protocol by which a starting voter rejoins before it takes part.
 *
 * <p>A voter with an empty disk either founds the cluster's log together with the others, if all
 * voters' disks are empty; or its disk was lost, and an entry in the log has to readmit it with the
 * new disk. A voter with any other disk asks the others how often it has started and how far their
 * terms and logs have advanced, because its disk may be an old copy.
 *
 * <p>Times are in tenths of a millisecond.
 */
final class VoterRejoin {
  /** A listener that is notified when the voter may take part. */
  interface RejoinListener {
    /**
     * Lets the voter take part. It must not vote in terms up to the given one, nor for a candidate
     * whose log ends before the given position until its own log reaches that position.
     *
     * @param term the highest term in which this voter may have voted
     * @param lastTerm the term of the entry at the position
     * @param lastIndex the index of the position
     */
    void onRejoined(long term, long lastTerm, long lastIndex);
  }

  /**
   * The most advanced state that the other voters reported.
   *
   * @param term the highest term
   * @param lastTerm the term of the last entry of the most up-to-date log
   * @param lastIndex the index of that entry
   * @param version the index of the entry that last changed {@code members}; -1 if none were
   *     reported
   * @param members the latest members, in the order of the voters' names
   * @param responses the number of responses that count towards the rejoin quorum
   */
  private record ReportedState(
      long term, long lastTerm, long lastIndex, long version, List<Long> members, int responses) {

    static final ReportedState NONE = new ReportedState(0, 0, 0, -1, List.of(), 0);

    ReportedState with(Seen seen, int voters) {
      // At most one voter has lost its disk at a time. If the responder has lost its disk, this
      // voter's disk is intact, so the response counts although it carries no position.
      int newResponses = responses + (seen.stage() == Stage.FRESH ? 0 : 1);
      if (seen.stage() != Stage.FOUNDED) {
        return new ReportedState(term, lastTerm, lastIndex, version, members, newResponses);
      }
      boolean moreUpToDate =
          Log.isAtLeastAsUpToDate(seen.lastTerm(), seen.lastIndex(), lastTerm, lastIndex);
      boolean newerMembers = seen.version() > version && seen.members().size() == voters;
      return new ReportedState(
          Math.max(term, seen.term()),
          moreUpToDate ? seen.lastTerm() : lastTerm,
          moreUpToDate ? seen.lastIndex() : lastIndex,
          newerMembers ? seen.version() : version,
          newerMembers ? seen.members() : members,
          newResponses);
    }
  }

  /** Interval at which the hellos to the other voters are repeated. */
  private static final long HELLO_INTERVAL = 2000;

  private final RaftContext context;
  private final Voters voters;
  private final Identity identity;
  private final RandomGenerator random;
  private final RejoinListener listener;
  private final Map<Integer, Seen> responses = new TreeMap<>();
  private long nonce;
  private long helloDueAt;
  private boolean done;

  VoterRejoin(RaftContext context, RandomGenerator random, RejoinListener listener) {
    this.context = context;
    this.random = random;
    this.listener = listener;
    voters = context.voters();
    identity = context.identity();
    nonce = random.nextLong();
  }

  long nextDueAt() {
    return done ? Long.MAX_VALUE : helloDueAt;
  }

  /**
   * Lets a voter with a known disk take part without asking the others, because the operator
   * guarantees that the disk is not an old copy.
   */
  void skipHandshake() {
    if (identity.stage() == Stage.FOUNDED && !done) {
      done = true;
      listener.onRejoined(0, 0, 0);
    }
  }

  void tick(long now) {
    if (done || now < helloDueAt) {
      return;
    }
    helloDueAt = now + HELLO_INTERVAL;
    evaluate();
    if (!done) {
      context.durable().whenDurable(this::sendHellos);
    }
  }

  private void sendHellos() {
    for (String name : voters.names()) {
      if (!name.equals(voters.self())) {
        context.outbox().send(name, new Hello(identity.stamp(), nonce, identity.stage()));
      }
    }
  }

  private void restartHandshake() {
    nonce = random.nextLong();
    responses.clear();
    helloDueAt = 0;
  }

  void onResponse(int voter, Seen response) {
    if (done || response.nonce() != nonce) {
      return;
    }
    if (response.known() >= identity.boots()) {
      if (identity.stage() == Stage.FOUNDED) {
        context
            .warnings()
            .accept(
                "this voter's disk is an old copy: another voter has recorded "
                    + response.known()
                    + " starts from it");
      }
      identity.setBoots(context.self(), response.known() + 1);
      restartHandshake();
      return;
    }
    responses.put(voter, response);
    evaluate();
  }

  private void evaluate() {
    switch (identity.stage()) {
      case FRESH -> evaluateEmptyDisk();
      case PLEDGED -> evaluatePledge();
      case FOUNDED -> evaluateKnownDisk();
      default -> evaluateLostDisk();
    }
  }

  private boolean allResponded() {
    return responses.size() == voters.count() - 1;
  }

  // ---- founding ----

  private void evaluateEmptyDisk() {
    boolean lost =
        responses.values().stream()
            .anyMatch(
                seen -> seen.stage() == Stage.FOUNDED && !seen.pledge().contains(identity.disk()));
    if (lost) {
      context.warnings().accept("this voter's disk was lost: it waits to be admitted again");
      identity.setStage(Stage.LOST, List.of());
    } else if (allResponded()) {
      foundingDisks()
          .ifPresent(
              disks -> {
                identity.setStage(Stage.PLEDGED, disks);
                restartHandshake();
              });
    }
  }

  /**
   * Returns the disks to found the log with: those of another voter's pledge if it includes this
   * disk, otherwise the disks of all responses and this one.
   *
   * @return the disks in the order of the voters' names; empty if a voter has lost its disk
   */
  private Optional<List<Long>> foundingDisks() {
    for (Seen seen : responses.values()) {
      if (isPledgedWithSelf(seen)) {
        return Optional.of(seen.pledge());
      }
      if (seen.stage() == Stage.LOST) {
        return Optional.empty();
      }
    }
    return Optional.of(voters.names().stream().map(this::diskOf).toList());
  }

  private boolean isPledgedWithSelf(Seen seen) {
    return (seen.stage() == Stage.PLEDGED || seen.stage() == Stage.FOUNDED)
        && seen.pledge().size() == voters.count()
        && seen.pledge().get(context.self()) == identity.disk();
  }

  private long diskOf(String voter) {
    return voter.equals(voters.self())
        ? identity.disk()
        : responses.get(voters.indexOf(voter)).stamp().disk();
  }

  private void evaluatePledge() {
    if (allResponded() && responses.values().stream().allMatch(this::hasSamePledge)) {
      identity.setStage(Stage.FOUNDED, identity.pledge());
      context.membership().setInitialMembers(identity.pledge());
      evaluateKnownDisk();
    }
  }

  private boolean hasSamePledge(Seen seen) {
    return seen.stage() != Stage.FRESH
        && seen.stage() != Stage.LOST
        && seen.pledge().equals(identity.pledge());
  }

  // ---- rejoining with a known disk ----

  private void evaluateKnownDisk() {
    ReportedState reported = ReportedState.NONE;
    for (Seen seen : responses.values()) {
      reported = reported.with(seen, voters.count());
    }
    List<Long> members = reported.members();
    if (!members.isEmpty() && members.get(context.self()) != identity.disk()) {
      context
          .warnings()
          .accept(
              "another disk has replaced this voter's disk: the voter waits to be admitted again");
      identity.replaceDisk(random);
      restartHandshake();
    } else if (reported.responses() >= voters.rejoinQuorum()) {
      done = true;
      ReportedState result = reported;
      context
          .durable()
          .whenDurable(
              () -> listener.onRejoined(result.term(), result.lastTerm(), result.lastIndex()));
    }
  }

  // ---- rejoining after the loss of a disk ----

  /**
   * Continues the handshake until the log readmits this voter. The other members are taken from the
   * responses. This voter's own place is left empty, because only the log can readmit it.
   */
  private void evaluateLostDisk() {
    for (Seen seen : responses.values()) {
      if (seen.stage() == Stage.FOUNDED && seen.members().size() == voters.count()) {
        List<Long> members = new ArrayList<>(seen.members());
        members.set(context.self(), 0L);
        context.membership().setInitialMembers(members);
      }
    }
    responses.clear();
  }

  /**
   * Completes the rejoin of a voter that lost its disk, once the log has readmitted it with its new
   * disk.
   *
   * @param members the members that include the new disk, in the order of the voters' names
   */
  void onReadmitted(List<Long> members) {
    if (identity.stage() == Stage.LOST) {
      identity.setStage(Stage.FOUNDED, members);
      done = true;
      context.durable().whenDurable(() -> listener.onRejoined(0, 0, 0));
    }
  }
}
