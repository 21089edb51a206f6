package tillerlink.statements.catalog;

/** The state of a catalog entry. The numbers are those of snapshots. */
public enum State {
  /** Prepared under the schema versions that are in effect. */
  READY(0),
  /** A change took effect that the statement is to be prepared again for, by the leader. */
  ANEW(1),
  /** A change took effect under which it can't be run; only a client can prepare it again. */
  INVALID(2);

  private final int storedNumber;

  State(int storedNumber) {
    this.storedNumber = storedNumber;
  }

  /** The number that stands for it in snapshots. */
  int storedNumber() {
    return storedNumber;
  }
}
