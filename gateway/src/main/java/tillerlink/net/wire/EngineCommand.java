package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;

/** Encoder of the commands of the engines' line protocol. */
public final class EngineCommand {
  private static final String RUN = "want ";
  private static final String CANCEL = "never_mind ";
  private static final String FETCH_PAGE = "turn ";
  private static final String RELEASE = "shut ";
  private static final String LIVENESS_CHECK = "there ";
  private static final String CLASS_FIELD = "cls=";
  private static final String LIMIT_FIELD = "limit=";
  private static final String KEY_FIELD = "nonce=";
  private static final String CRLF = "\r\n";

  private EngineCommand() {}

  /**
   * Encodes the command that runs a statement as one attempt.
   *
   * @param id the id of the attempt
   * @param limit the time for which the gateway waits for the response, in milliseconds
   * @param key the idempotency key, or null if there is none
   */
  public static byte[] run(
      String id, String requestClass, long limit, String key, byte[] statement) {
    String fields =
        CLASS_FIELD
            + requestClass
            + ","
            + LIMIT_FIELD
            + limit
            + (key == null ? "" : "," + KEY_FIELD + key);
    byte[] head = ascii(RUN + id + " " + fields + " " + statement.length + CRLF);
    return ByteAccumulator.concat(head, statement, ascii(CRLF));
  }

  /** Encodes the command that cancels an attempt whose result is no longer needed. */
  public static byte[] cancel(String id) {
    return ascii(CANCEL + id + CRLF);
  }

  /**
   * Encodes the command that requests a further page of a result.
   *
   * @param id the id of the attempt
   * @param page the number of the page; the first page is part of the response itself
   */
  public static byte[] fetchPage(String id, int page) {
    return ascii(FETCH_PAGE + id + " " + page + CRLF);
  }

  /** Encodes the command that releases a result that was read completely. */
  public static byte[] release(String id) {
    return ascii(RELEASE + id + CRLF);
  }

  /**
   * Encodes a liveness check.
   *
   * @param tag the text that the engine repeats in its response
   */
  public static byte[] checkLiveness(String tag) {
    return ascii(LIVENESS_CHECK + tag + CRLF);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
