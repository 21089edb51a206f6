package tillerlink.statements.consensus;

import java.util.List;

/** The configured voters, the same list on every gateway of the cluster. */
public final class Voters {
  /** Voters at most. */
  public static final int COUNT_MAX = 15;

  private static final long HASH_SEED = 17;
  private static final long HASH_FACTOR = 1_000_003;

  private final List<String> names;
  private final String self;
  private final long hash;

  /**
   * Sorts the voters by name.
   *
   * @param self the name of this gateway, which need not be a voter
   * @throws IllegalArgumentException if there are none or too many, or one is named twice
   */
  public Voters(List<String> names, String self) {
    this.names = names.stream().sorted().distinct().toList();
    this.self = self;
    if (names.isEmpty() || names.size() > COUNT_MAX || this.names.size() < names.size()) {
      throw new IllegalArgumentException(
          "expected 1 to " + COUNT_MAX + " voters with distinct names, got " + names);
    }
    long sum = HASH_SEED;
    for (String name : this.names) {
      sum = sum * HASH_FACTOR + name.hashCode();
    }
    hash = sum;
  }

  /** The names in their order, which numbers the voters. */
  public List<String> names() {
    return names;
  }

  /** The name of this gateway. */
  public String self() {
    return self;
  }

  /** How many voters there are. */
  public int count() {
    return names.size();
  }

  /** Whether that gateway is a voter. */
  public boolean contains(String name) {
    return names.contains(name);
  }

  /** Whether this gateway is a voter. */
  public boolean includesSelf() {
    return contains(self);
  }

  /** The number of that voter; -1 if it is none. */
  public int indexOf(String name) {
    return names.indexOf(name);
  }

  /** The size of a majority. */
  public int quorum() {
    return names.size() / 2 + 1;
  }

  /**
   * How many others have to respond to a voter that starts: so many that among them is one of any
   * majority that relied on what it acknowledged before.
   */
  int rejoinQuorum() {
    return names.size() - quorum() + (names.size() > 1 ? 1 : 0);
  }

  /** Tells gateways apart that are configured with other voters. */
  long hash() {
    return hash;
  }
}
