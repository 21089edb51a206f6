package tillerlink.statements.consensus;

import java.util.BitSet;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * The current term of a voter, the candidate that it voted for in this term, and the votes that it
 * has received itself.
 *
 * <p>The term and the candidate are written to durable state before another voter learns either of
 * them, so that a restart cannot lead to a second vote in the same term. The votes received are not
 * stored.
 */
final class Ballot {
  /** Key of the stored value; part of the stored format. */
  private static final String KEY = "ballot";

  private static final int TERM = 1;
  private static final int VOTED_FOR = 2;
  private static final int NAME_BYTES_MAX = 256;

  /**
   * Stored instead of a candidate's name if this voter may have voted in the term but no longer
   * knows for which candidate.
   */
  private static final String UNKNOWN_CANDIDATE = "?";

  private final DurableState durable;
  private final BitSet votesReceived = new BitSet();
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

  /** Writes the term and the vote to durable state. */
  void persist() {
    durable.write(KEY, new FieldWriter().number(TERM, term).text(VOTED_FOR, votedFor).done());
  }

  long term() {
    return term;
  }

  /**
   * Starts a new term without a vote and writes it to durable state.
   *
   * @param next the new term; higher than the current one
   */
  void startTerm(long next) {
    Invariant.holds(
        next > term, () -> "term does not increase: current term " + term + ", new term " + next);
    term = next;
    votedFor = "";
    votesReceived.clear();
    persist();
  }

  /** Returns whether this voter has not voted in the current term, or voted for that candidate. */
  boolean mayVoteFor(String name) {
    return votedFor.isEmpty() || votedFor.equals(name);
  }

  /** Records the vote for a candidate in the current term and writes it to durable state. */
  void voteFor(String name) {
    if (!votedFor.equals(name)) {
      votedFor = name;
      persist();
    }
  }

  /**
   * Prevents votes in all terms up to the given one, because this voter may already have voted in
   * them and lost the record.
   */
  void forbidVotesUpTo(long highestTerm) {
    if (highestTerm > term) {
      startTerm(highestTerm);
    }
    if (highestTerm == term && votedFor.isEmpty()) {
      voteFor(UNKNOWN_CANDIDATE);
    }
  }

  // ---- votes received ----

  void clearVotes() {
    votesReceived.clear();
  }

  void recordVote(int voter) {
    votesReceived.set(voter);
  }

  /** Discards the vote of a voter that has restarted since it voted. */
  void revokeVote(int voter) {
    votesReceived.clear(voter);
  }

  /**
   * Returns the number of voters that voted for this one.
   *
   * @param excluded the index of a voter whose vote does not count; -1 to count all
   */
  int countVotes(int excluded) {
    return votesReceived.cardinality() - (excluded >= 0 && votesReceived.get(excluded) ? 1 : 0);
  }
}
