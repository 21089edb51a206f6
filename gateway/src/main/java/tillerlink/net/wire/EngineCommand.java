package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;

/** What is said to an engine, encoded. */
public final class EngineCommand {
  private EngineCommand() {}

  /**
   * @param limit how long the answer is waited for, in milliseconds; @param key the mark against
   *     repeats or null
   */
  public static byte[] want(
      String id, String requestClass, long limit, String key, byte[] statement) {
    byte[] head =
        ascii(
            "want "
                + id
                + " cls="
                + requestClass
                + ",limit="
                + limit
                + (key == null ? "" : ",nonce=" + key)
                + " "
                + statement.length
                + "\r\n");
    return ByteAccumulator.joined(head, statement, ascii("\r\n"));
  }

  public static byte[] cancel(String id) {
    return ascii("never_mind " + id + "\r\n");
  }

  public static byte[] turn(String id, int page) {
    return ascii("turn " + id + " " + page + "\r\n");
  }

  public static byte[] shut(String id) {
    return ascii("shut " + id + "\r\n");
  }

  public static byte[] there(String tag) {
    return ascii("there " + tag + "\r\n");
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
