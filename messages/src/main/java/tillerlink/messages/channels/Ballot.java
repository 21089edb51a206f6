package tillerlink.messages.channels;

/** A try at an agreement; of two the higher goes first, and no two gateways have the same. */
public record Ballot(long round, String by) implements Comparable<Ballot> {
  public static final Ballot NONE = new Ballot(0, "");

  @Override
  public int compareTo(Ballot other) {
    return round != other.round ? Long.compare(round, other.round) : by.compareTo(other.by);
  }
}
