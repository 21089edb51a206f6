package tillerlink.statements.catalog;

/**
 * The outcome of a request to change the catalog.
 *
 * @param verdict whether the request was done
 * @param id the generation of the statement or the number of the change; 0 unless done
 * @param message a readable reason why the request was not done; empty if it was done
 */
public record Outcome(Verdict verdict, long id, String message) {
  /** The verdict on a request. Each constant has a fixed number that is stored in snapshots. */
  public enum Verdict {
    /** The request is in the log and took effect. */
    DONE(0),
    /** The request was refused and changed nothing. */
    REFUSED(1),
    /**
     * The gateway did not learn the outcome in time. The request may have taken effect, may take
     * effect later or may never do so. Repeating it is safe.
     */
    UNKNOWN(2);

    private final int storedNumber;

    Verdict(int storedNumber) {
      this.storedNumber = storedNumber;
    }

    /** Returns the number of this verdict in snapshots. */
    int storedNumber() {
      return storedNumber;
    }
  }

  /** Returns the outcome of a request that took effect. */
  public static Outcome done(long id) {
    return new Outcome(Verdict.DONE, id, "");
  }

  /** Returns the outcome of a refused request. */
  public static Outcome refused(String message) {
    return new Outcome(Verdict.REFUSED, 0, message);
  }

  /** Returns the outcome of a request whose result is not known to this gateway. */
  public static Outcome unknown(String message) {
    return new Outcome(Verdict.UNKNOWN, 0, message);
  }
}
