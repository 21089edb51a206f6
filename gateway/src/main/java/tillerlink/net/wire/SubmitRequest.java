package tillerlink.net.wire;

import java.util.Arrays;
import java.util.Objects;
import tillerlink.plain.Units;

/**
 * A client's request to run a statement.
 *
 * @param id the id that the client assigned, of 16 hexadecimal digits
 * @param requestClass the name of the request class
 * @param timeLimit the time for which the client waits for the result, in tenths of a millisecond
 * @param resent whether the client states that it has sent the request before
 * @param key the idempotency key, by which engines recognise a repeated request; null if there is
 *     none
 * @param subject the ordering key, for request classes with key ordering; null if there is none
 * @param estimate the client's estimate of the work, in tenths of a millisecond; 0 if there is none
 * @param memory the client's estimate of the memory needed, in megabytes; 0 if there is none
 * @param tableGroup the group of tables that the statement names; 0 if it names none
 * @param statement the statement, in UTF-8
 */
public record SubmitRequest(
    String id,
    String requestClass,
    long timeLimit,
    boolean resent,
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
   * Parses an HTTP request. The request class is the last segment of its path.
   *
   * @throws MalformedProtocolException if a header is missing or invalid, or if the body is not a
   *     statement; {@link MalformedProtocolException#problem} is the name of the header, or the
   *     reason why the body is not a statement
   */
  public static SubmitRequest of(HttpRequest request) {
    String id = parseId(request);
    String key = parseKey(request);
    String subject = parseSubject(request);
    double timeLimitMs = parseNumber(request, DEADLINE_HEADER);
    if (timeLimitMs <= 0) {
      throw new MalformedProtocolException(
          DEADLINE_HEADER,
          DEADLINE_HEADER + " must be above 0, got " + request.header(DEADLINE_HEADER));
    }
    String statement = Ascii.decodeUtf8(request.body());
    if (statement.isBlank() || statement.indexOf('\0') >= 0) {
      throw new MalformedProtocolException(
          "no statement", "body of " + request.body().length + " bytes is blank or contains NUL");
    }
    return new SubmitRequest(
        id,
        request.path().substring(request.path().lastIndexOf('/') + 1),
        (long) (timeLimitMs * Units.TENTHS_PER_MS),
        RESENT.equals(request.header(RESENT_HEADER)),
        key,
        subject,
        parseNumber(request, ESTIMATE_HEADER) * Units.TENTHS_PER_MS,
        parseNumber(request, MEMORY_HEADER),
        StatementTableScanner.tableGroup(statement),
        request.body());
  }

  private static String parseId(HttpRequest request) {
    String id = request.header(ID_HEADER);
    if (id == null || id.length() != ID_DIGITS || !id.chars().allMatch(SubmitRequest::isHexDigit)) {
      throw new MalformedProtocolException(
          ID_HEADER, ID_HEADER + " must have " + ID_DIGITS + " hexadecimal digits, got " + id);
    }
    return id;
  }

  private static String parseKey(HttpRequest request) {
    String key = request.header(KEY_HEADER);
    if (key != null
        && (key.isEmpty()
            || key.length() > MAX_KEY_LENGTH
            || !key.chars().allMatch(SubmitRequest::isKeyCharacter))) {
      throw new MalformedProtocolException(
          KEY_HEADER,
          KEY_HEADER
              + " must have 1 to "
              + MAX_KEY_LENGTH
              + " letters, digits or any of -_., got '"
              + key
              + "'");
    }
    return key;
  }

  private static String parseSubject(HttpRequest request) {
    String subject = request.header(SUBJECT_HEADER);
    if (subject != null && subject.length() > MAX_SUBJECT_LENGTH) {
      throw new MalformedProtocolException(
          SUBJECT_HEADER,
          SUBJECT_HEADER + " length " + subject.length() + " exceeds " + MAX_SUBJECT_LENGTH);
    }
    return subject;
  }

  private static boolean isHexDigit(int character) {
    return character < 128 && Character.digit(character, 16) >= 0;
  }

  private static boolean isKeyCharacter(int character) {
    return Ascii.isLetterOrDigit(character)
        || character == '-'
        || character == '_'
        || character == '.';
  }

  /**
   * Returns the value of a numeric header; 0 if it is absent. The value must consist of digits with
   * an optional decimal fraction. Other forms that {@link Double#parseDouble} accepts (1e9, NaN,
   * 0x1p3) are errors.
   */
  private static double parseNumber(HttpRequest request, String name) {
    String value = request.header(name);
    String text = value == null ? "0" : value;
    int point = text.indexOf('.');
    String whole = point < 0 ? text : text.substring(0, point);
    String fraction = point < 0 ? "0" : text.substring(point + 1);
    if (!Ascii.isDigits(whole) || !Ascii.isDigits(fraction) || text.length() > MAX_NUMBER_LENGTH) {
      throw new MalformedProtocolException(
          name,
          name
              + " must be a decimal number of at most "
              + MAX_NUMBER_LENGTH
              + " characters, got '"
              + text
              + "'");
    }
    return Double.parseDouble(text);
  }

  /**
   * Returns whether another request repeats this one, as a client does after it has lost its
   * connection: the request class, the idempotency key and the statement are equal.
   */
  public boolean isRepeatedBy(SubmitRequest other) {
    return requestClass.equals(other.requestClass)
        && Objects.equals(key, other.key)
        && Arrays.equals(statement, other.statement);
  }
}
