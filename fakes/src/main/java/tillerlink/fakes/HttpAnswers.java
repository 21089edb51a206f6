package tillerlink.fakes;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/** The client's side of HTTP/1.1: makes answers of the bytes of one connection; knows no socket. */
public final class HttpAnswers {
  private static final int HEAD_MOST = 16_384;
  private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /** One answer; {@code retryAfter} is milliseconds, 0 if nothing was said. */
  public record Answer(int status, long retryAfter, boolean last, String body) {
    /** The path at which there is more, or null. */
    public String goOnAt() {
      String mark = "{\"continue\":\"";
      return body.startsWith(mark)
          ? body.substring(mark.length(), body.indexOf('"', mark.length()))
          : null;
    }
  }

  private byte[] kept = new byte[0];

  public void feed(byte[] more) {
    if (kept.length == 0) {
      kept = more;
      return;
    }
    byte[] joined = Arrays.copyOf(kept, kept.length + more.length);
    System.arraycopy(more, 0, joined, kept.length, more.length);
    kept = joined;
  }

  /** Whether an answer has begun to come and is not yet whole. */
  public boolean midway() {
    return kept.length > 0;
  }

  /**
   * The next answer, or null while it is not whole. Words that one may go on (100) are passed over.
   *
   * @throws IllegalArgumentException if it can't be read
   */
  public Answer next() {
    int end = headEnd();
    if (end < 0) {
      if (kept.length > HEAD_MOST) {
        throw new IllegalArgumentException("a head too long");
      }
      return null;
    }
    String[] lines = new String(kept, 0, end, StandardCharsets.ISO_8859_1).split("\r\n");
    String[] words = lines[0].split(" ", 3);
    if (words.length < 2 || !words[0].equals("HTTP/1.1") || !words[1].matches("[1-5][0-9][0-9]")) {
      throw new IllegalArgumentException("no status line");
    }
    int status = Integer.parseInt(words[1]);
    int length = 0;
    long retryAfter = 0;
    boolean last = false;
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      String value = lines[i].substring(colon + 1).strip();
      switch (colon < 0 ? "" : lines[i].substring(0, colon).toLowerCase(Locale.ROOT)) {
        case "content-length" -> length = Integer.parseInt(value);
        case "x-pushback-ms" -> retryAfter = Long.parseLong(value);
        case "connection" -> last = value.equals("close");
        default -> {}
      }
    }
    int bodyAt = end + HEAD_END.length;
    if (kept.length < bodyAt + length) {
      return null;
    }
    String body = new String(kept, bodyAt, length, StandardCharsets.UTF_8);
    kept = Arrays.copyOfRange(kept, bodyAt + length, kept.length);
    return status == 100 ? next() : new Answer(status, retryAfter, last, body);
  }

  private int headEnd() {
    for (int i = 0; i + HEAD_END.length <= kept.length; i++) {
      if (kept[i] == '\r'
          && Arrays.equals(kept, i, i + HEAD_END.length, HEAD_END, 0, HEAD_END.length)) {
        return i;
      }
    }
    return -1;
  }
}
