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
 * What a voter does before it takes part. From an empty disk: either all voters' disks are empty,
 * then they found the cluster's log together; or its disk was lost, then the log itself has to
 * readmit it with the new one. From any other disk: it asks the others how far they and it were, as
 * its disk may be an old copy. Times are in tenths of a millisecond.
 */
final class VoterRejoin {
  /** Is called when the voter may take part. */
  interface RejoinListener {
    /**
     * The voter may vote, but in no term up to that one, and for nobody whose log is behind that
     * position until its own log reaches it.
     */
    void onRejoined(long term, long lastTerm, long lastIndex);
  }

  /** The furthest that the other voters said they have come. */
  private record Findings(
      long term, long lastTerm, long lastIndex, long version, List<Long> members, int responses) {

    static final Findings NONE = new Findings(0, 0, 0, -1, List.of(), 0);

    Findings with(Seen seen, int voters) {
      // At most one voter has lost its disk at a time: if it is the responder, this voter's disk
      // is in order.
      int counted = responses + (seen.stage() == Stage.FRESH ? 0 : 1);
      if (seen.stage() != Stage.FOUNDED) {
        return new Findings(term, lastTerm, lastIndex, version, members, counted);
      }
      boolean further = Log.isAtLeast(seen.lastTerm(), seen.lastIndex(), lastTerm, lastIndex);
      boolean newer = seen.version() > version && seen.members().size() == voters;
      return new Findings(
          Math.max(term, seen.term()),
          further ? seen.lastTerm() : lastTerm,
          further ? seen.lastIndex() : lastIndex,
          newer ? seen.version() : version,
          newer ? seen.members() : members,
          counted);
    }
  }

  private static final long INQUIRY_INTERVAL = 2000;

  private final RaftContext context;
  private final Voters voters;
  private final Identity identity;
  private final RandomGenerator random;
  private final RejoinListener listener;
  private final Map<Integer, Seen> responses = new TreeMap<>();
  private long nonce;
  private long inquiryDueAt;
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
    return done ? Long.MAX_VALUE : inquiryDueAt;
  }

  /** The operator vouches for the disk: the other voters are not asked about it. */
  void skipInquiry() {
    if (identity.stage() == Stage.FOUNDED && !done) {
      done = true;
      listener.onRejoined(0, 0, 0);
    }
  }

  void tick(long now) {
    if (done || now < inquiryDueAt) {
      return;
    }
    inquiryDueAt = now + INQUIRY_INTERVAL;
    evaluate();
    if (!done) {
      context.durable().whenDurable(this::inquire);
    }
  }

  private void inquire() {
    for (String name : voters.names()) {
      if (!name.equals(voters.self())) {
        context.outbox().send(name, new Hello(identity.stamp(), nonce, identity.stage()));
      }
    }
  }

  private void restartInquiry() {
    nonce = random.nextLong();
    responses.clear();
    inquiryDueAt = 0;
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
      identity.bootsAre(context.self(), response.known() + 1);
      restartInquiry();
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
      identity.stageIs(Stage.LOST, List.of());
    } else if (allResponded()) {
      foundingDisks()
          .ifPresent(
              disks -> {
                identity.stageIs(Stage.PLEDGED, disks);
                restartInquiry();
              });
    }
  }

  /**
   * The disks to found the log with: those that another voter pledged itself to with this one, else
   * those that responded; empty if a voter lost its disk.
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
      identity.stageIs(Stage.FOUNDED, identity.pledge());
      context.membership().establish(identity.pledge());
      evaluateKnownDisk();
    }
  }

  private boolean hasSamePledge(Seen seen) {
    return seen.stage() != Stage.FRESH
        && seen.stage() != Stage.LOST
        && seen.pledge().equals(identity.pledge());
  }

  // ---- return from a known disk ----

  private void evaluateKnownDisk() {
    Findings findings = Findings.NONE;
    for (Seen seen : responses.values()) {
      findings = findings.with(seen, voters.count());
    }
    List<Long> members = findings.members();
    if (!members.isEmpty() && members.get(context.self()) != identity.disk()) {
      context
          .warnings()
          .accept(
              "another disk has replaced this voter's disk: the voter waits to be admitted again");
      identity.startOver(random);
      restartInquiry();
    } else if (findings.responses() >= voters.rejoinQuorum()) {
      done = true;
      Findings known = findings;
      context
          .durable()
          .whenDurable(
              () -> listener.onRejoined(known.term(), known.lastTerm(), known.lastIndex()));
    }
  }

  // ---- return from a lost disk ----

  /**
   * The inquiry goes on until the log readmits this voter. Who else votes it takes from the other
   * voters; that it votes itself only the log can say.
   */
  private void evaluateLostDisk() {
    for (Seen seen : responses.values()) {
      if (seen.stage() == Stage.FOUNDED && seen.members().size() == voters.count()) {
        List<Long> members = new ArrayList<>(seen.members());
        members.set(context.self(), 0L);
        context.membership().establish(members);
      }
    }
    responses.clear();
  }

  /** The log readmitted this voter with its new disk. */
  void onReadmitted(List<Long> members) {
    if (identity.stage() == Stage.LOST) {
      identity.stageIs(Stage.FOUNDED, members);
      done = true;
      context.durable().whenDurable(() -> listener.onRejoined(0, 0, 0));
    }
  }
}
