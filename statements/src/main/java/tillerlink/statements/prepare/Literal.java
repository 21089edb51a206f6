package tillerlink.statements.prepare;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.util.Locale;
import java.util.regex.Pattern;
import tillerlink.messages.statements.ParameterType;

/** Renders values as SQL literals that can't be taken for anything but a value. */
final class Literal {
  private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,19}");
  private static final Pattern DECIMAL = Pattern.compile("-?[0-9]{1,30}([.][0-9]{1,30})?");

  private static final char DELETE = 0x7f;

  private Literal() {}

  /**
   * The literal of a parameter's value, {@code NULL} for null.
   *
   * @param number the parameter's number, for messages
   * @throws IllegalArgumentException if the value is not of the type; the message is for people
   */
  static String of(int number, ParameterType type, String value) {
    if (value == null) {
      return "NULL";
    }
    return switch (type) {
      case TEXT -> text(number, value);
      case INTEGER -> signed(matching(number, type, INTEGER, value));
      case DECIMAL -> signed(matching(number, type, DECIMAL, value));
      case FLAG -> flag(number, value);
      case DAY -> day(number, value);
    };
  }

  /**
   * Quotes are doubled. A backslash is refused, as it stands for itself with some engines and is an
   * escape for others; so are characters that can't be seen.
   */
  private static String text(int number, String value) {
    for (int i = 0; i < value.length(); i++) {
      if (!isAllowed(value, i)) {
        throw new IllegalArgumentException(
            "parameter $" + number + " has a character that texts may not have");
      }
    }
    return "'" + value.replace("'", "''") + "'";
  }

  private static boolean isAllowed(String value, int at) {
    char character = value.charAt(at);
    if (character == '\n' || character == '\t') {
      return true;
    }
    boolean control = character < ' ' || character == DELETE;
    boolean unpaired = Character.isSurrogate(character) && !isPaired(value, at);
    return character != '\\' && !control && !unpaired;
  }

  private static boolean isPaired(String value, int at) {
    return Character.isHighSurrogate(value.charAt(at))
        ? at + 1 < value.length() && Character.isLowSurrogate(value.charAt(at + 1))
        : at > 0 && Character.isHighSurrogate(value.charAt(at - 1));
  }

  private static String matching(int number, ParameterType type, Pattern pattern, String value) {
    if (!pattern.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "parameter $" + number + " is no " + type.name().toLowerCase(Locale.ROOT));
    }
    return value;
  }

  /** A minus behind another would begin a comment. */
  private static String signed(String value) {
    return value.startsWith("-") ? "(" + value + ")" : value;
  }

  private static String flag(int number, String value) {
    if (!value.equals("true") && !value.equals("false")) {
      throw new IllegalArgumentException("parameter $" + number + " is neither true nor false");
    }
    return value.equals("true") ? "TRUE" : "FALSE";
  }

  private static String day(int number, String value) {
    try {
      return "DATE '" + LocalDate.parse(value) + "'";
    } catch (DateTimeException e) {
      throw new IllegalArgumentException("parameter $" + number + " is no day as 2026-12-02");
    }
  }
}
