package tillerlink.net.wire;

import java.util.Arrays;
import java.util.Objects;
import tillerlink.plain.Units;

/**
 * A client's request to run a statement. Times are tenths of a millisecond, memory is megabytes.
 *
 * @param patience how long the client waits for the result
 * @param repeat whether the client has sent it before
 * @param key the idempotency key by which engines recognise a repetition, or null
 * @param subject what it is about, for request classes that keep their order by it, or null
 * @param estimate the client's estimate of the work; 0 if none
 * @param memory the client's estimate of the memory needed; 0 if none
 * @param tableGroup the group of tables that the statement names; 0 if none
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
  private static final String ID_HEADER = "X-Correlation-Id";
  private static final String KEY_HEADER = "X-Operation-Key";
  private static final String SUBJECT_HEADER = "X-Subject";
  private static final String DEADLINE_HEADER = "X-Deadline-Ms";
  private static final String RESENT_HEADER = "X-Resent";
  private static final String ESTIMATE_HEADER = "X-Estimate-Ms";
  private static final String MEMORY_HEADER = "X-Space";
  private static final String RESENT = "1";

  private static final int ID_DIGITS = 16;
  private static final int MAX_KEY_LENGTH = 64;
  private static final int MAX_SUBJECT_LENGTH = 256;
  private static final int MAX_NUMBER_LENGTH = 9;

  /**
   * Parses a request; its class is the last part of the path.
   *
   * @throws IllegalArgumentException if a header is missing or unusable, with its name as the
   *     message, or the body is no statement
   */
  public static SubmitRequest of(HttpRequest request) {
    String id = id(request);
    String key = key(request);
    String subject = subject(request);
    double patience = amount(request, DEADLINE_HEADER);
    if (patience <= 0) {
      throw new MalformedProtocolException(DEADLINE_HEADER);
    }
    String statement = Ascii.utf8(request.body());
    if (statement.isBlank() || statement.indexOf('\0') >= 0) {
      throw new MalformedProtocolException("no statement");
    }
    return new SubmitRequest(
        id,
        request.path().substring(request.path().lastIndexOf('/') + 1),
        (long) (patience * Units.TENTHS_PER_MS),
        RESENT.equals(request.header(RESENT_HEADER)),
        key,
        subject,
        amount(request, ESTIMATE_HEADER) * Units.TENTHS_PER_MS,
        amount(request, MEMORY_HEADER),
        StatementTableScanner.tableGroup(statement),
        request.body());
  }

  private static String id(HttpRequest request) {
    String id = request.header(ID_HEADER);
    if (id == null || id.length() != ID_DIGITS || !id.chars().allMatch(SubmitRequest::isHexDigit)) {
      throw new MalformedProtocolException(ID_HEADER);
    }
    return id;
  }

  private static String key(HttpRequest request) {
    String key = request.header(KEY_HEADER);
    if (key != null
        && (key.isEmpty()
            || key.length() > MAX_KEY_LENGTH
            || !key.chars().allMatch(SubmitRequest::isKeyCharacter))) {
      throw new MalformedProtocolException(KEY_HEADER);
    }
    return key;
  }

  private static String subject(HttpRequest request) {
    String subject = request.header(SUBJECT_HEADER);
    if (subject != null && subject.length() > MAX_SUBJECT_LENGTH) {
      throw new MalformedProtocolException(SUBJECT_HEADER);
    }
    return subject;
  }

  private static boolean isHexDigit(int character) {
    return character < 128 && Character.digit(character, 16) >= 0;
  }

  private static boolean isKeyCharacter(int character) {
    return Ascii.letterOrDigit(character)
        || character == '-'
        || character == '_'
        || character == '.';
  }

  /**
   * A number in digits, with a fraction at most; 0 if absent. Other forms that Java would parse
   * (1e9, NaN, 0x1p3) are errors.
   */
  private static double amount(HttpRequest request, String name) {
    String stated = request.header(name);
    String text = stated == null ? "0" : stated;
    int point = text.indexOf('.');
    String whole = point < 0 ? text : text.substring(0, point);
    String fraction = point < 0 ? "0" : text.substring(point + 1);
    if (!Ascii.digits(whole) || !Ascii.digits(fraction) || text.length() > MAX_NUMBER_LENGTH) {
      throw new MalformedProtocolException(name);
    }
    return Double.parseDouble(text);
  }

  /** Whether another is the same request, sent again by a client whose connection was lost. */
  public boolean same(SubmitRequest other) {
    return requestClass.equals(other.requestClass)
        && Objects.equals(key, other.key)
        && Arrays.equals(statement, other.statement);
  }
}
