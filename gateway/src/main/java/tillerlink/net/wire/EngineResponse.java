package tillerlink.net.wire;

/**
 * One answer of an engine.
 *
 * @param number pages of all with {@code OK}, the page's number with {@code BATCH}; -1 if not told
 * @param about what a note tells, or null
 * @param level the note's value
 */
public record EngineResponse(
    String id, Word word, int number, About about, double level, byte[] body) {
  public enum Word {
    OK,
    REFUSED,
    ERROR,
    STALE,
    PROGRESS,
    BATCH,
    YES
  }

  public enum About {
    SHARE_DONE,
    MEGABYTES_MISSING,
    PARKED
  }
}
