package tillerlink.fakes;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A reply of an engine, independent of the protocol.
 *
 * @param word the kind of reply
 * @param id the attempt's id, or the tag of a keep-alive
 * @param number the number of pages for {@code OK}, the page's number for {@code BATCH}, else 0
 * @param about the quantity of a progress report: "frac", "missing" or "parked"; null for other
 *     replies
 * @param level the reported value of that quantity; 0 for other replies
 * @param body the page for {@code OK} and {@code BATCH}, else empty
 */
public record EngineReply(
    Word word, String id, int number, String about, double level, byte[] body) {
  /** The kind of a reply; in lower case, the name of the reply in the line protocol. */
  public enum Word {
    OK,
    BATCH,
    REFUSED,
    ERROR,
    YES,
    PROGRESS
  }

  private static final byte[] NO_BODY = new byte[0];

  /** Returns the reply to a request that succeeded, with the number of pages and the first page. */
  public static EngineReply ok(String id, int pages, byte[] first) {
    return new EngineReply(Word.OK, id, pages, null, 0, first);
  }

  /** Returns the reply that contains a further page of a result. */
  public static EngineReply batch(String id, int page, byte[] body) {
    return new EngineReply(Word.BATCH, id, page, null, 0, body);
  }

  /** Returns the reply that rejects a request that the engine did not start. */
  public static EngineReply refused(String id) {
    return new EngineReply(Word.REFUSED, id, 0, null, 0, NO_BODY);
  }

  /** Returns the reply to a request that failed or is unknown to the engine. */
  public static EngineReply error(String id) {
    return new EngineReply(Word.ERROR, id, 0, null, 0, NO_BODY);
  }

  /** Returns the reply to a keep-alive. */
  public static EngineReply yes(String tag) {
    return new EngineReply(Word.YES, tag, 0, null, 0, NO_BODY);
  }

  /** Returns a progress report of a running request. */
  public static EngineReply progress(String id, String about, double level) {
    return new EngineReply(Word.PROGRESS, id, 0, about, level, NO_BODY);
  }

  /** Encodes the reply in the line protocol. */
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
                + word.name().toLowerCase(Locale.ROOT)
                + " "
                + fields
                + " "
                + body.length
                + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] line = new byte[head.length + body.length + 2];
    System.arraycopy(head, 0, line, 0, head.length);
    System.arraycopy(body, 0, line, head.length, body.length);
    line[line.length - 2] = '\r';
    line[line.length - 1] = '\n';
    return line;
  }
}
