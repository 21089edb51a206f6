package tillerlink.statements.consensus;

import java.util.List;

/** The stated voters, the same list on every gateway of the fleet. */
public final class Voters {
  public static final int MOST = 15;

  private final List<String> names;
  private final String self;
  private final long hash;

  /**
   * @throws IllegalArgumentException if there are none or too many, or one is named twice
   */
  public Voters(List<String> names, String self) {
    this.names = names.stream().sorted().distinct().toList();
    this.self = self;
    if (names.isEmpty() || names.size() > MOST || this.names.size() < names.size()) {
      throw new IllegalArgumentException("voters are 1 to " + MOST + ", each named once");
    }
    long sum = 17;
    for (String name : this.names) {
      sum = sum * 1_000_003 + name.hashCode();
    }
    hash = sum;
  }

  public List<String> names() {
    return names;
  }

  public String self() {
    return self;
  }

  public int count() {
    return names.size();
  }

  public boolean has(String name) {
    return names.contains(name);
  }

  public boolean isOne() {
    return has(self);
  }

  int place(String name) {
    return names.indexOf(name);
  }

  /** A majority. */
  public int quorum() {
    return names.size() / 2 + 1;
  }

  /**
   * How many others a voter that starts must hear: so many that among them is one of any majority
   * that relied on what it said before.
   */
  int othersToReturn() {
    return names.size() - quorum() + (names.size() > 1 ? 1 : 0);
  }

  long hash() {
    return hash;
  }
}
