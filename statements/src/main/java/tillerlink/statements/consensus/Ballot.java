package tillerlink.statements.consensus;

import java.util.BitSet;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * The current term and whom this voter voted for in it, both written to durable state before either
 * is shown to another voter; and the votes that it got itself, which are not stored.
 */
final class Ballot {
  /** The key of the stored value; part of the stored format. */
  private static final String KEY = "ballot";

  private static final int TERM = 1;
  private static final int VOTED_FOR = 2;
  private static final int NAME_BYTES_MAX = 256;

  /** Stored in place of a name if a vote may have been given and forgotten. */
  private static final String UNKNOWN_CANDIDATE = "?";

  private final DurableState durable;
  private final BitSet votes = new BitSet();
  private long term;
  private String votedFor = "";

  Ballot(DurableState durable) throws MalformedMessageException {
    this.durable = durable;
    byte[] stored = durable.initialEntries().get(KEY);
    if (stored != null) {
      read(new FieldReader(stored));
    }
  }

  private void read(FieldReader in) throws MalformedMessageException {
    while (in.next()) {
      switch (in.field()) {
        case TERM -> term = in.number();
        case VOTED_FOR -> votedFor = in.text(NAME_BYTES_MAX);
        default -> {}
      }
    }
  }

  /** Writes it to durable state. */
  void persist() {
    durable.write(KEY, new FieldWriter().number(TERM, term).text(VOTED_FOR, votedFor).done());
  }

  long term() {
    return term;
  }

  void termIs(long next) {
    Invariant.holds(
        next > term, () -> "term does not increase: current term " + term + ", new term " + next);
    term = next;
    votedFor = "";
    votes.clear();
    persist();
  }

  boolean mayVoteFor(String name) {
    return votedFor.isEmpty() || votedFor.equals(name);
  }

  void vote(String name) {
    if (!votedFor.equals(name)) {
      votedFor = name;
      persist();
    }
  }

  /** Votes up to that term may have been given and forgotten: none is given in them again. */
  void forbidVotesUpTo(long highestTerm) {
    if (highestTerm > term) {
      termIs(highestTerm);
    }
    if (highestTerm == term && votedFor.isEmpty()) {
      vote(UNKNOWN_CANDIDATE);
    }
  }

  // ---- votes for this voter ----

  void clearVotes() {
    votes.clear();
  }

  void recordVote(int voter) {
    votes.set(voter);
  }

  /** That voter restarted: its vote no longer counts. */
  void revokeVote(int voter) {
    votes.clear(voter);
  }

  /**
   * How many voters voted for this one.
   *
   * @param excluded a voter whose vote does not count, or -1
   */
  int votes(int excluded) {
    return votes.cardinality() - (excluded >= 0 && votes.get(excluded) ? 1 : 0);
  }
}
