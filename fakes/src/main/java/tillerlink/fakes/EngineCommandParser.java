package tillerlink.fakes;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A parser for the engine's end of the line protocol, which turns the bytes of one connection into
 * commands. It has no socket.
 */
public final class EngineCommandParser {
  private static final int MAX_LINE_BYTES = 1024;

  /** The kind of a command; in lower case, the first field of its line on the wire. */
  public enum Word {
    WANT,
    NEVER_MIND,
    TURN,
    SHUT,
    THERE
  }

  /**
   * One command of the gateway.
   *
   * @param word the kind of the command
   * @param id the attempt's id, or the tag of a keep-alive
   * @param requestClass the request class of a {@code WANT}, empty if it has none
   * @param limit how long the gateway waits for a {@code WANT}, in milliseconds, 0 if not given
   * @param nonce the idempotency key of a {@code WANT}, or null
   * @param page the number of the page that a {@code TURN} requests, else 0
   * @param statement the statement that a {@code WANT} runs, else empty
   */
  public record Command(
      Word word,
      String id,
      String requestClass,
      long limit,
      String nonce,
      int page,
      byte[] statement) {}

  private byte[] buffer = new byte[256];
  private int readAt;
  private int writeAt;

  /** The command whose line is parsed and whose body may be incomplete, or null. */
  private Command head;

  /** Bytes of the body that follows the line of {@link #head}, or -1 if it has no body. */
  private int bodyLength;

  /** Appends bytes that the gateway sent to the input. */
  public void feed(byte[] bytes) {
    if (writeAt + bytes.length > buffer.length) {
      byte[] larger = new byte[Math.max(2 * (writeAt - readAt), writeAt - readAt + bytes.length)];
      System.arraycopy(buffer, readAt, larger, 0, writeAt - readAt);
      writeAt -= readAt;
      readAt = 0;
      buffer = larger;
    }
    System.arraycopy(bytes, 0, buffer, writeAt, bytes.length);
    writeAt += bytes.length;
  }

  /**
   * Returns the next command, or null while it is incomplete.
   *
   * @throws IllegalArgumentException if the bytes do not form a valid command
   */
  public Command next() {
    if (head == null && !parseLine()) {
      return null;
    }
    if (bodyLength < 0) {
      Command complete = head;
      head = null;
      return complete;
    }
    if (writeAt - readAt < bodyLength + 2) {
      return null;
    }
    byte[] body = Arrays.copyOfRange(buffer, readAt, readAt + bodyLength);
    if (buffer[readAt + bodyLength] != '\r' || buffer[readAt + bodyLength + 1] != '\n') {
      throw new IllegalArgumentException("expected CR LF after a body of " + bodyLength + " bytes");
    }
    readAt += bodyLength + 2;
    Command complete =
        new Command(head.word, head.id, head.requestClass, head.limit, head.nonce, 0, body);
    head = null;
    return complete;
  }

  /** Parses the next line into {@link #head}; returns false while it is incomplete. */
  private boolean parseLine() {
    int end = readAt;
    while (end < writeAt && buffer[end] != '\n') {
      end++;
    }
    if (end - readAt > MAX_LINE_BYTES) {
      throw new IllegalArgumentException("command line exceeds " + MAX_LINE_BYTES + " bytes");
    }
    if (end == writeAt) {
      return false;
    }
    String[] fields =
        new String(buffer, readAt, Math.max(0, end - 1 - readAt), StandardCharsets.ISO_8859_1)
            .split(" ", -1);
    readAt = end + 1;
    bodyLength = -1;
    head =
        switch (fields[0]) {
          case "want" -> parseRequest(fields);
          case "never_mind" -> parseWithoutBody(Word.NEVER_MIND, fields, 2);
          case "turn" -> parseWithoutBody(Word.TURN, fields, 3);
          case "shut" -> parseWithoutBody(Word.SHUT, fields, 2);
          case "there" -> parseWithoutBody(Word.THERE, fields, 2);
          default -> throw new IllegalArgumentException("unknown engine command: " + fields[0]);
        };
    return true;
  }

  private static Command parseWithoutBody(Word word, String[] fields, int count) {
    if (fields.length != count) {
      throw new IllegalArgumentException(
          "engine command " + fields[0] + " has " + fields.length + " fields, expected " + count);
    }
    return new Command(
        word, fields[1], "", 0, null, count == 3 ? parseNumber(fields[2]) : 0, new byte[0]);
  }

  private Command parseRequest(String[] fields) {
    if (fields.length != 4) {
      throw new IllegalArgumentException(
          "engine command want has " + fields.length + " fields, expected 4");
    }
    String requestClass = "";
    long limit = 0;
    String nonce = null;
    for (String field : fields[2].split(",", -1)) {
      int separator = field.indexOf('=');
      String value = field.substring(separator + 1);
      switch (separator < 0 ? "" : field.substring(0, separator)) {
        case "cls" -> requestClass = value;
        case "limit" -> limit = parseNumber(value);
        case "nonce" -> nonce = value;
        default -> {}
      }
    }
    bodyLength = parseNumber(fields[3]);
    return new Command(Word.WANT, fields[1], requestClass, limit, nonce, 0, null);
  }

  private static int parseNumber(String text) {
    if (text.isEmpty() || text.length() > 9 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new IllegalArgumentException(
          "expected a whole number of at most 9 digits, got " + text);
    }
    return Integer.parseInt(text);
  }
}
