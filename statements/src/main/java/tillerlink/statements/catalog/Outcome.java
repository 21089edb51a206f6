package tillerlink.statements.catalog;

/**
 * What became of a request to change the catalog.
 *
 * @param id the generation, or the number of the change; 0 unless done
 * @param message why not, for people
 */
public record Outcome(Verdict verdict, long id, String message) {
  /** Whether a request was done. The numbers are those of snapshots. */
  public enum Verdict {
    /** The request is in the log and took effect. */
    DONE(0),
    /** The request was checked and changed nothing. */
    REFUSED(1),
    /**
     * The gateway learned nothing in time: the request may be done, be done later or never.
     * Repeating it is safe.
     */
    UNKNOWN(2);

    private final int storedNumber;

    Verdict(int storedNumber) {
      this.storedNumber = storedNumber;
    }

    /** The number that stands for it in snapshots. */
    int storedNumber() {
      return storedNumber;
    }
  }

  /** The request was done. */
  public static Outcome done(long id) {
    return new Outcome(Verdict.DONE, id, "");
  }

  /** The request was refused. */
  public static Outcome refused(String message) {
    return new Outcome(Verdict.REFUSED, 0, message);
  }

  /** It is not known what became of the request. */
  public static Outcome unknown(String message) {
    return new Outcome(Verdict.UNKNOWN, 0, message);
  }
}
