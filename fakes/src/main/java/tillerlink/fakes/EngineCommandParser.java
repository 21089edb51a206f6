package tillerlink.fakes;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The engine's end of the line protocol: parses the bytes of one connection into commands; has no
 * socket.
 */
public final class EngineCommandParser {
  private static final int MAX_LINE_BYTES = 1024;

  /** The first word of a command, as it stands on the wire. */
  public enum Word {
    WANT,
    NEVER_MIND,
    TURN,
    SHUT,
    THERE
  }

  /**
   * One command.
   *
   * @param requestClass the class of a request, or empty
   * @param limit how long the gateway waits, in milliseconds
   * @param nonce the idempotency key, or null
   * @param page the requested page
   * @param statement the statement to run
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
  private Command head;
  private int bodyLength;

  /** Takes bytes that the gateway sent. */
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
   * @throws IllegalArgumentException if the bytes are not a command
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
      throw new IllegalArgumentException("a length that does not fit");
    }
    readAt += bodyLength + 2;
    Command complete =
        new Command(head.word, head.id, head.requestClass, head.limit, head.nonce, 0, body);
    head = null;
    return complete;
  }

  private boolean parseLine() {
    int end = readAt;
    while (end < writeAt && buffer[end] != '\n') {
      end++;
    }
    if (end - readAt > MAX_LINE_BYTES) {
      throw new IllegalArgumentException("a line too long");
    }
    if (end == writeAt) {
      return false;
    }
    String[] words =
        new String(buffer, readAt, Math.max(0, end - 1 - readAt), StandardCharsets.ISO_8859_1)
            .split(" ", -1);
    readAt = end + 1;
    bodyLength = -1;
    head =
        switch (words[0]) {
          case "want" -> submit(words);
          case "never_mind" -> withoutBody(Word.NEVER_MIND, words, 2);
          case "turn" -> withoutBody(Word.TURN, words, 3);
          case "shut" -> withoutBody(Word.SHUT, words, 2);
          case "there" -> withoutBody(Word.THERE, words, 2);
          default -> throw new IllegalArgumentException("an unknown command");
        };
    return true;
  }

  private static Command withoutBody(Word word, String[] words, int count) {
    if (words.length != count) {
      throw new IllegalArgumentException("a command of " + words.length + " words");
    }
    return new Command(word, words[1], "", 0, null, count == 3 ? number(words[2]) : 0, new byte[0]);
  }

  private Command submit(String[] words) {
    if (words.length != 4) {
      throw new IllegalArgumentException("a request of " + words.length + " words");
    }
    String requestClass = "";
    long limit = 0;
    String nonce = null;
    for (String field : words[2].split(",", -1)) {
      int sign = field.indexOf('=');
      String value = field.substring(sign + 1);
      switch (sign < 0 ? "" : field.substring(0, sign)) {
        case "cls" -> requestClass = value;
        case "limit" -> limit = number(value);
        case "nonce" -> nonce = value;
        default -> {}
      }
    }
    bodyLength = number(words[3]);
    return new Command(Word.WANT, words[1], requestClass, limit, nonce, 0, null);
  }

  private static int number(String text) {
    if (text.isEmpty() || text.length() > 9 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new IllegalArgumentException("not a whole number: " + text);
    }
    return Integer.parseInt(text);
  }
}
