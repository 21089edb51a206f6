package tillerlink.net.wire;

import java.util.Arrays;
import java.util.Locale;
import java.util.Objects;
import tillerlink.plain.Units;

/**
 * A request as a client words it. Times are tenths of a millisecond, memory is megabytes.
 *
 * @param key the mark by which engines know a repeat, or null
 * @param subject what it is about, for request classes that keep their order by it, or null
 */
public record SubmitRequest(
    String id,
    String requestClass,
    long patience,
    boolean repeat,
    String key,
    String subject,
    double estimate,
    double memory,
    int tableGroup,
    byte[] statement) {
  private static final int ID_DIGITS = 16;
  private static final int KEY_MOST = 64;
  private static final int SUBJECT_MOST = 256;
  private static final int DIGITS_MOST = 9;

  /**
   * @throws IllegalArgumentException if a header is missing or can't be used; the message names it
   */
  public static SubmitRequest of(HttpRequest call) {
    String id = call.fields().get("x-correlation-id");
    if (id == null || id.length() != ID_DIGITS || !id.chars().allMatch(SubmitRequest::hexDigit)) {
      throw new IllegalArgumentException("X-Correlation-Id");
    }
    String key = call.fields().get("x-operation-key");
    if (key != null
        && (key.isEmpty()
            || key.length() > KEY_MOST
            || !key.chars().allMatch(SubmitRequest::plain))) {
      throw new IllegalArgumentException("X-Operation-Key");
    }
    String subject = call.fields().get("x-subject");
    if (subject != null && subject.length() > SUBJECT_MOST) {
      throw new IllegalArgumentException("X-Subject");
    }
    double patience = amount(call, "X-Deadline-Ms");
    if (patience <= 0) {
      throw new IllegalArgumentException("X-Deadline-Ms");
    }
    String statement = Ascii.utf8(call.body());
    if (statement.isBlank() || statement.indexOf('\0') >= 0) {
      throw new IllegalArgumentException("no statement");
    }
    return new SubmitRequest(
        id,
        call.path().substring(call.path().lastIndexOf('/') + 1),
        (long) (patience * Units.TENTHS_PER_MS),
        "1".equals(call.fields().get("x-resent")),
        key,
        subject,
        amount(call, "X-Estimate-Ms") * Units.TENTHS_PER_MS,
        amount(call, "X-Space"),
        StatementTableScanner.tableGroup(statement),
        call.body());
  }

  private static boolean hexDigit(int c) {
    return c < 128 && Character.digit(c, 16) >= 0;
  }

  private static boolean plain(int c) {
    return Ascii.letterOrDigit(c) || c == '-' || c == '_' || c == '.';
  }

  /**
   * Digits, and a fraction at most: what else a parser would take (1e9, NaN, 0x1p3) no client of
   * ours sends.
   */
  private static double amount(HttpRequest call, String name) {
    String text = call.fields().getOrDefault(name.toLowerCase(Locale.ROOT), "0");
    int point = text.indexOf('.');
    String whole = point < 0 ? text : text.substring(0, point);
    String part = point < 0 ? "0" : text.substring(point + 1);
    if (!Ascii.digits(whole) || !Ascii.digits(part) || text.length() > DIGITS_MOST) {
      throw new IllegalArgumentException(name);
    }
    return Double.parseDouble(text);
  }

  /**
   * Whether another is the same request once more, made again by a client whose connection broke.
   */
  public boolean same(SubmitRequest other) {
    return requestClass.equals(other.requestClass)
        && Objects.equals(key, other.key)
        && Arrays.equals(statement, other.statement);
  }
}
