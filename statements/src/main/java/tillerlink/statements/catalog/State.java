package tillerlink.statements.catalog;

/** The state of a catalog entry. Each constant has a fixed number that is stored in snapshots. */
public enum State {
  /** The statement is prepared under the schema versions in effect. */
  READY(0),
  /** A change took effect, and the leader has to prepare the statement again for it. */
  ANEW(1),
  /**
   * A change took effect after which the statement can't be run. Only a client can prepare it
   * again.
   */
  INVALID(2);

  private final int storedNumber;

  State(int storedNumber) {
    this.storedNumber = storedNumber;
  }

  /** Returns the number of this state in snapshots. */
  int storedNumber() {
    return storedNumber;
  }
}
