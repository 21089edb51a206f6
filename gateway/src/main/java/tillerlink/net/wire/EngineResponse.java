package tillerlink.net.wire;

/**
 * One response in the engines' line protocol.
 *
 * @param id the attempt that it is about, or the tag of a check
 * @param number how many pages the result has with {@code OK}, the page's number with {@code
 *     BATCH}; -1 if not stated
 * @param about what an attempt's progress is about; null if not stated or unknown
 * @param level the measure of the progress
 */
public record EngineResponse(
    String id, Word word, int number, About about, double level, byte[] body) {
  /** The kind of a response. */
  public enum Word {
    OK("ok"),
    REFUSED("refused"),
    ERROR("error"),
    STALE("stale"),
    PROGRESS("progress"),
    BATCH("batch"),
    YES("yes");

    private static final Word[] ALL = values();
    private final String wire;

    Word(String wire) {
      this.wire = wire;
    }

    /** The word of that spelling on the wire. */
    static Word ofWire(String wire) {
      for (Word word : ALL) {
        if (word.wire.equals(wire)) {
          return word;
        }
      }
      throw new MalformedProtocolException("an unknown word");
    }
  }

  /** What an attempt's progress is about. */
  public enum About {
    SHARE_DONE("frac"),
    MEGABYTES_MISSING("missing"),
    PARKED("parked");

    private static final About[] ALL = values();
    private final String wire;

    About(String wire) {
      this.wire = wire;
    }

    /** What is spelt so on the wire; null if it is unknown. */
    static About ofWire(String wire) {
      for (About about : ALL) {
        if (about.wire.equals(wire)) {
          return about;
        }
      }
      return null;
    }
  }
}
