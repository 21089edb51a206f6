package tillerlink.statements.consensus;

import java.util.List;

/** The configured voters. The list has to be the same on every gateway of the cluster. */
public final class Voters {
  /** The maximum number of voters. */
  public static final int COUNT_MAX = 15;

  private static final long HASH_SEED = 17;
  private static final long HASH_FACTOR = 1_000_003;

  private final List<String> names;
  private final String self;
  private final long hash;

  /**
   * Creates the list of voters, sorted by name.
   *
   * @param names the names of the voters, in any order
   * @param self the name of this gateway, which need not be a voter
   * @throws IllegalArgumentException if there are no voters, there are more than {@link
   *     #COUNT_MAX}, or a name occurs twice
   */
  public Voters(List<String> names, String self) {
    this.names = names.stream().sorted().distinct().toList();
    this.self = self;
    if (names.isEmpty() || names.size() > COUNT_MAX || this.names.size() < names.size()) {
      throw new IllegalArgumentException(
          "expected 1 to " + COUNT_MAX + " voters with distinct names, got " + names);
    }
    long nameHash = HASH_SEED;
    for (String name : this.names) {
      nameHash = nameHash * HASH_FACTOR + name.hashCode();
    }
    hash = nameHash;
  }

  /** Returns the names in ascending order; the position of a name is the index of the voter. */
  public List<String> names() {
    return names;
  }

  /** Returns the name of this gateway. */
  public String self() {
    return self;
  }

  /** Returns the number of voters. */
  public int count() {
    return names.size();
  }

  /** Returns whether a gateway is a voter. */
  public boolean contains(String name) {
    return names.contains(name);
  }

  /** Returns whether this gateway is a voter. */
  public boolean includesSelf() {
    return contains(self);
  }

  /** Returns the index of a voter; -1 if the gateway is not a voter. */
  public int indexOf(String name) {
    return names.indexOf(name);
  }

  /** Returns the number of voters in a majority. */
  public int quorum() {
    return names.size() / 2 + 1;
  }

  /**
   * Returns the number of other voters that have to respond to a starting voter. The number is
   * large enough that the responses include a member of every majority that may have relied on an
   * earlier acknowledgement of the starting voter.
   */
  int rejoinQuorum() {
    return names.size() - quorum() + (names.size() > 1 ? 1 : 0);
  }

  /**
   * Returns a hash of the names, by which a voter recognizes messages from gateways that are
   * configured with other voters.
   */
  long hash() {
    return hash;
  }
}
