package tillerlink.messages.channels;

/**
 * A Paxos ballot number. Ballots are ordered by round, then by proposer; no two proposers use the
 * same ballot.
 *
 * @param round the number of the attempt, from 1; 0 for {@link #NONE}
 * @param proposer identifies the gateway and its incarnation
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
  /** The absence of a ballot: lower than every ballot that a proposer uses. */
  public static final Ballot NONE = new Ballot(0, "");

  @Override
  public int compareTo(Ballot other) {
    return round != other.round
        ? Long.compare(round, other.round)
        : proposer.compareTo(other.proposer);
  }
}
