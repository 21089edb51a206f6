package tillerlink.statements.catalog;

/**
 * What became of a request to the catalog.
 *
 * @param id the generation, or the number of the change; 0 unless done
 * @param words why not, for people
 */
public record Outcome(Verdict verdict, long id, String words) {
  /** The order is that of snapshots: new ones come last. */
  public enum Verdict {
    DONE,
    REFUSED,
    /**
     * It was not heard of in time: it may be done, be done later or never. Asking once more is
     * safe.
     */
    UNKNOWN
  }

  public static Outcome done(long id) {
    return new Outcome(Verdict.DONE, id, "");
  }

  public static Outcome refused(String words) {
    return new Outcome(Verdict.REFUSED, 0, words);
  }

  public static Outcome unknown(String words) {
    return new Outcome(Verdict.UNKNOWN, 0, words);
  }
}
