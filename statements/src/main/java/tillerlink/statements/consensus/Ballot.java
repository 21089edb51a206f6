package tillerlink.statements.consensus;

import java.util.BitSet;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/** The term, and whom this voter gave its vote in it: kept before either is shown. */
final class Ballot {
  private static final String NAME = "ballot";

  /** It may have voted and forgotten it. */
  private static final String UNKNOWN = "?";

  private final DurableState disk;
  private long term;
  private String votedFor = "";

  /** Votes that this candidate got, by the voters' places. */
  final BitSet got = new BitSet();

  Ballot(DurableState disk) throws MalformedMessageException {
    this.disk = disk;
    byte[] kept = disk.found().get(NAME);
    if (kept != null) {
      for (FieldReader in = new FieldReader(kept); in.next(); ) {
        switch (in.field()) {
          case 1 -> term = in.number();
          case 2 -> votedFor = in.text(256);
          default -> {}
        }
      }
    }
  }

  long term() {
    return term;
  }

  void termIs(long next) {
    Invariant.holds(next > term, () -> "term falls from " + term + " to " + next);
    term = next;
    votedFor = "";
    got.clear();
    keep();
  }

  boolean mayVoteFor(String name) {
    return votedFor.isEmpty() || votedFor.equals(name);
  }

  void vote(String name) {
    if (!votedFor.equals(name)) {
      votedFor = name;
      keep();
    }
  }

  /** Votes up to that term may have been given and forgotten. */
  void noVotesUpTo(long least) {
    if (least > term) {
      termIs(least);
    }
    if (least == term && votedFor.isEmpty()) {
      vote(UNKNOWN);
    }
  }

  void keep() {
    disk.write(NAME, new FieldWriter().number(1, term).text(2, votedFor).done());
  }
}
