package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;

/** Encodes the commands of the engines' line protocol. */
public final class EngineCommand {
  private static final String WANT = "want ";
  private static final String CANCEL = "never_mind ";
  private static final String TURN = "turn ";
  private static final String SHUT = "shut ";
  private static final String THERE = "there ";
  private static final String CLASS_FIELD = "cls=";
  private static final String LIMIT_FIELD = "limit=";
  private static final String KEY_FIELD = "nonce=";
  private static final String END = "\r\n";

  private EngineCommand() {}

  /**
   * Runs a statement.
   *
   * @param limit how long the response is waited for, in milliseconds
   * @param key the idempotency key, or null
   */
  public static byte[] want(
      String id, String requestClass, long limit, String key, byte[] statement) {
    String fields =
        CLASS_FIELD
            + requestClass
            + ","
            + LIMIT_FIELD
            + limit
            + (key == null ? "" : "," + KEY_FIELD + key);
    byte[] head = ascii(WANT + id + " " + fields + " " + statement.length + END);
    return ByteAccumulator.joined(head, statement, ascii(END));
  }

  /** Cancels an attempt, whose result is not wanted any more. */
  public static byte[] cancel(String id) {
    return ascii(CANCEL + id + END);
  }

  /** Asks for a further page of a result. */
  public static byte[] turn(String id, int page) {
    return ascii(TURN + id + " " + page + END);
  }

  /** Says that the result was read and can be dropped. */
  public static byte[] shut(String id) {
    return ascii(SHUT + id + END);
  }

  /** Asks whether the engine is there; it repeats the tag. */
  public static byte[] there(String tag) {
    return ascii(THERE + tag + END);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
