package tillerlink.net.wire;

/**
 * One response in the engines' line protocol.
 *
 * @param id the id of the attempt, or the tag of a liveness check
 * @param word the type of the response
 * @param number the number of pages of the result with {@code OK}, the number of the page with
 *     {@code BATCH}; -1 if the response does not state it
 * @param about the measure that the attempt progress is given in; null if it is missing or unknown
 * @param level the value of that measure; 0 if it is missing
 * @param body one page of the result with {@code OK} and {@code BATCH}
 */
public record EngineResponse(
    String id, Word word, int number, About about, double level, byte[] body) {
  /** The type of a response. */
  public enum Word {
    OK("ok"),
    REFUSED("refused"),
    ERROR("error"),
    STALE("stale"),
    PROGRESS("progress"),
    BATCH("batch"),
    YES("yes");

    private static final Word[] ALL = values();
    private final String wireName;

    Word(String wireName) {
      this.wireName = wireName;
    }

    /**
     * Returns the type with that name on the wire.
     *
     * @throws MalformedProtocolException if there is no such type
     */
    static Word ofWire(String wireName) {
      for (Word word : ALL) {
        if (word.wireName.equals(wireName)) {
          return word;
        }
      }
      throw new MalformedProtocolException("unknown response type '" + wireName + "'");
    }
  }

  /** The measure in which attempt progress is reported. */
  public enum About {
    SHARE_DONE("frac"),
    MEGABYTES_MISSING("missing"),
    PARKED("parked");

    private static final About[] ALL = values();
    private final String wireName;

    About(String wireName) {
      this.wireName = wireName;
    }

    /** Returns the measure with that name on the wire, or null if it is unknown. */
    static About ofWire(String wireName) {
      for (About about : ALL) {
        if (about.wireName.equals(wireName)) {
          return about;
        }
      }
      return null;
    }
  }
}
