package tillerlink.fakes;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One reply of an engine, independent of the protocol.
 *
 * @param id the attempt's id, or the tag of a keep-alive
 * @param number the number of pages with {@code OK}, the page's number with {@code BATCH}
 * @param about what a progress report is about: frac, missing or parked
 * @param level the reported figure
 */
public record EngineReply(
    Word word, String id, int number, String about, double level, byte[] body) {
  /** The kind of reply, as it stands on the wire. */
  public enum Word {
    OK,
    BATCH,
    REFUSED,
    ERROR,
    YES,
    PROGRESS
  }

  private static final byte[] NOTHING = new byte[0];

  /** The request succeeded; the first page and how many there are. */
  public static EngineReply ok(String id, int pages, byte[] first) {
    return new EngineReply(Word.OK, id, pages, null, 0, first);
  }

  /** A further page. */
  public static EngineReply batch(String id, int page, byte[] body) {
    return new EngineReply(Word.BATCH, id, page, null, 0, body);
  }

  /** The engine did not start the request. */
  public static EngineReply refused(String id) {
    return new EngineReply(Word.REFUSED, id, 0, null, 0, NOTHING);
  }

  /** The request failed, or is unknown. */
  public static EngineReply error(String id) {
    return new EngineReply(Word.ERROR, id, 0, null, 0, NOTHING);
  }

  /** The answer to a keep-alive. */
  public static EngineReply yes(String tag) {
    return new EngineReply(Word.YES, tag, 0, null, 0, NOTHING);
  }

  /** A progress report of a running request. */
  public static EngineReply progress(String id, String about, double level) {
    return new EngineReply(Word.PROGRESS, id, 0, about, level, NOTHING);
  }

  /** The reply in the line protocol. */
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
