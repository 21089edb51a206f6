package tillerlink.statements.prepare;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.util.Locale;
import java.util.regex.Pattern;
import tillerlink.messages.statements.ParameterType;

/** SQL literals of parameter values that no engine can interpret as anything but values. */
final class Literal {
  private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,19}");
  private static final Pattern DECIMAL = Pattern.compile("-?[0-9]{1,30}([.][0-9]{1,30})?");

  private static final char DELETE_CHARACTER = 0x7f;

  private Literal() {}

  /**
   * Returns the literal of a parameter's value.
   *
   * @param parameterNumber the number of the parameter from 1, for error messages
   * @param value the value as text; null is rendered as {@code NULL}
   * @throws IllegalArgumentException if the value is not of the type; the message is sent to the
   *     client
   */
  static String of(int parameterNumber, ParameterType type, String value) {
    if (value == null) {
      return "NULL";
    }
    return switch (type) {
      case TEXT -> text(parameterNumber, value);
      case INTEGER -> parenthesizeIfNegative(requireMatch(parameterNumber, type, INTEGER, value));
      case DECIMAL -> parenthesizeIfNegative(requireMatch(parameterNumber, type, DECIMAL, value));
      case FLAG -> flag(parameterNumber, value);
      case DAY -> day(parameterNumber, value);
    };
  }

  /**
   * Returns a string literal with quotes doubled. A backslash is refused, because some engines
   * treat it as a literal character and others as an escape. Unpaired surrogates and control
   * characters other than newline and tab are refused because they are not visible.
   */
  private static String text(int parameterNumber, String value) {
    for (int i = 0; i < value.length(); i++) {
      if (!isAllowed(value, i)) {
        throw new IllegalArgumentException(
            "parameter $" + parameterNumber + " has a character that texts may not have");
      }
    }
    return "'" + value.replace("'", "''") + "'";
  }

  private static boolean isAllowed(String value, int index) {
    char character = value.charAt(index);
    if (character == '\n' || character == '\t') {
      return true;
    }
    boolean control = character < ' ' || character == DELETE_CHARACTER;
    boolean unpaired = Character.isSurrogate(character) && !isPaired(value, index);
    return character != '\\' && !control && !unpaired;
  }

  private static boolean isPaired(String value, int index) {
    return Character.isHighSurrogate(value.charAt(index))
        ? index + 1 < value.length() && Character.isLowSurrogate(value.charAt(index + 1))
        : index > 0 && Character.isHighSurrogate(value.charAt(index - 1));
  }

  private static String requireMatch(
      int parameterNumber, ParameterType type, Pattern pattern, String value) {
    if (!pattern.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "parameter $" + parameterNumber + " is no " + type.name().toLowerCase(Locale.ROOT));
    }
    return value;
  }

  /** Parenthesizes a negative number, because a minus after another minus begins a comment. */
  private static String parenthesizeIfNegative(String value) {
    return value.startsWith("-") ? "(" + value + ")" : value;
  }

  private static String flag(int parameterNumber, String value) {
    if (!value.equals("true") && !value.equals("false")) {
      throw new IllegalArgumentException(
          "parameter $" + parameterNumber + " is neither true nor false");
    }
    return value.equals("true") ? "TRUE" : "FALSE";
  }

  private static String day(int parameterNumber, String value) {
    try {
      return "DATE '" + LocalDate.parse(value) + "'";
    } catch (DateTimeException e) {
      throw new IllegalArgumentException(
          "parameter $" + parameterNumber + " is no day as 2026-12-02");
    }
  }
}
