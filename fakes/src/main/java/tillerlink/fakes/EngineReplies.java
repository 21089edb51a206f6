package tillerlink.fakes;

import java.nio.charset.StandardCharsets;

/**
 * One thing that an engine says, whatever protocol it speaks.
 *
 * @param id the request's, or the tag of a question whether the connection works
 * @param number of all pages with {@code OK}, the page's with {@code BATCH}
 * @param about what a note tells: frac, missing or parked
 */
public record EngineReplies(
    Word word, String id, int number, String about, double level, byte[] body) {
  /** What it is. */
  public enum Word {
    OK,
    BATCH,
    REFUSED,
    ERROR,
    YES,
    PROGRESS
  }

  private static final byte[] NOTHING = new byte[0];

  public static EngineReplies ok(String id, int pages, byte[] first) {
    return new EngineReplies(Word.OK, id, pages, null, 0, first);
  }

  public static EngineReplies batch(String id, int page, byte[] body) {
    return new EngineReplies(Word.BATCH, id, page, null, 0, body);
  }

  public static EngineReplies refused(String id) {
    return new EngineReplies(Word.REFUSED, id, 0, null, 0, NOTHING);
  }

  public static EngineReplies error(String id) {
    return new EngineReplies(Word.ERROR, id, 0, null, 0, NOTHING);
  }

  public static EngineReplies yes(String tag) {
    return new EngineReplies(Word.YES, tag, 0, null, 0, NOTHING);
  }

  public static EngineReplies progress(String id, String about, double level) {
    return new EngineReplies(Word.PROGRESS, id, 0, about, level, NOTHING);
  }

  /** On engine lines. */
  public byte[] line() {
    String fields =
        switch (word) {
          case OK -> "count=" + number;
          case BATCH -> "pos=" + number;
          case PROGRESS -> "tell=" + about + ",reading=" + level;
          default -> "-";
        };
    byte[] head =
        (id
                + " "
                + word.name().toLowerCase(java.util.Locale.ROOT)
                + " "
                + fields
                + " "
                + body.length
                + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] whole = new byte[head.length + body.length + 2];
    System.arraycopy(head, 0, whole, 0, head.length);
    System.arraycopy(body, 0, whole, head.length, body.length);
    whole[whole.length - 2] = '\r';
    whole[whole.length - 1] = '\n';
    return whole;
  }
}
