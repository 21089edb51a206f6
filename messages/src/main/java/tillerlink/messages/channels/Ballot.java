package tillerlink.messages.channels;

/**
 * A Paxos ballot. Ballots are ordered by round, then by proposer; no two proposers use the same
 * one.
 *
 * @param round counts the attempts, from 1; 0 for {@link #NONE}
 * @param proposer names the gateway and its incarnation
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
  /** Lower than every ballot that a proposer uses. */
  public static final Ballot NONE = new Ballot(0, "");

  @Override
  public int compareTo(Ballot other) {
    return round != other.round
        ? Long.compare(round, other.round)
        : proposer.compareTo(other.proposer);
  }
}
