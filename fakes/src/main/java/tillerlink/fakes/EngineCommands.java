package tillerlink.fakes;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The engine's side of the line protocol: makes commands of the bytes of one connection; knows no
 * socket.
 */
public final class EngineCommands {
  private static final int LINE_MOST = 1024;

  /** What a gateway said. */
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
   * @param nonce the mark against repeats, or null
   * @param page the page that is asked for
   * @param statement what is to run
   */
  public record Command(
      Word word,
      String id,
      String requestClass,
      long limit,
      String nonce,
      int page,
      byte[] statement) {}

  private byte[] kept = new byte[256];
  private int from;
  private int to;
  private Command head;
  private int bodyLength;

  public void feed(byte[] more) {
    if (to + more.length > kept.length) {
      byte[] roomy = new byte[Math.max(2 * (to - from), to - from + more.length)];
      System.arraycopy(kept, from, roomy, 0, to - from);
      to -= from;
      from = 0;
      kept = roomy;
    }
    System.arraycopy(more, 0, kept, to, more.length);
    to += more.length;
  }

  /**
   * The next command, or null while it is not whole.
   *
   * @throws IllegalArgumentException if the bytes are none
   */
  public Command next() {
    if (head == null && !line()) {
      return null;
    }
    if (bodyLength < 0) {
      Command whole = head;
      head = null;
      return whole;
    }
    if (to - from < bodyLength + 2) {
      return null;
    }
    byte[] body = Arrays.copyOfRange(kept, from, from + bodyLength);
    if (kept[from + bodyLength] != '\r' || kept[from + bodyLength + 1] != '\n') {
      throw new IllegalArgumentException("a length that does not fit");
    }
    from += bodyLength + 2;
    Command whole =
        new Command(head.word, head.id, head.requestClass, head.limit, head.nonce, 0, body);
    head = null;
    return whole;
  }

  private boolean line() {
    int end = from;
    while (end < to && kept[end] != '\n') {
      end++;
    }
    if (end - from > LINE_MOST) {
      throw new IllegalArgumentException("a line too long");
    }
    if (end == to) {
      return false;
    }
    String[] words =
        new String(kept, from, Math.max(0, end - 1 - from), StandardCharsets.ISO_8859_1)
            .split(" ", -1);
    from = end + 1;
    bodyLength = -1;
    head =
        switch (words[0]) {
          case "want" -> want(words);
          case "never_mind" -> plain(Word.NEVER_MIND, words, 2);
          case "turn" -> plain(Word.TURN, words, 3);
          case "shut" -> plain(Word.SHUT, words, 2);
          case "there" -> plain(Word.THERE, words, 2);
          default -> throw new IllegalArgumentException("an unknown command");
        };
    return true;
  }

  private static Command plain(Word word, String[] words, int count) {
    if (words.length != count) {
      throw new IllegalArgumentException("a command of " + words.length + " words");
    }
    return new Command(word, words[1], "", 0, null, count == 3 ? whole(words[2]) : 0, new byte[0]);
  }

  private Command want(String[] words) {
    if (words.length != 4) {
      throw new IllegalArgumentException("a request of " + words.length + " words");
    }
    String requestClass = "";
    long limit = 0;
    String nonce = null;
    for (String field : words[2].split(",")) {
      int sign = field.indexOf('=');
      String value = field.substring(sign + 1);
      switch (sign < 0 ? "" : field.substring(0, sign)) {
        case "cls" -> requestClass = value;
        case "limit" -> limit = whole(value);
        case "nonce" -> nonce = value;
        default -> {}
      }
    }
    bodyLength = whole(words[3]);
    return new Command(Word.WANT, words[1], requestClass, limit, nonce, 0, null);
  }

  private static int whole(String text) {
    if (text.isEmpty() || text.length() > 9 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new IllegalArgumentException("not a whole number: " + text);
    }
    return Integer.parseInt(text);
  }
}
