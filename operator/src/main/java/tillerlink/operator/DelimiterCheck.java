package tillerlink.operator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A scanner that finds the first unterminated string or block comment and the first unmatched
 * bracket or brace, with its position. It also records the positions of all assignment signs.
 */
final class DelimiterCheck {
  /** An opening bracket or brace and its position, counted from 1. */
  private record Opening(char character, int line, int column) {}

  private final String text;
  private final ArrayDeque<Opening> openings = new ArrayDeque<>();
  private final List<ConfigError> assignments = new ArrayList<>();
  private int position;
  private int line = 1;
  private int column = 1;

  DelimiterCheck(String text) {
    this.text = text;
  }

  /**
   * Returns one error for each assignment sign that was scanned. The caller reports those at which
   * the HCL library read no attribute.
   */
  List<ConfigError> assignments() {
    return assignments;
  }

  /**
   * Scans the text up to the first error.
   *
   * @return the first error, or null if there is none
   */
  ConfigError findFirstError() {
    while (position < text.length()) {
      ConfigError error = checkToken();
      if (error != null) {
        return error;
      }
      advance();
    }
    if (openings.isEmpty()) {
      return null;
    }
    Opening unclosed = openings.peek();
    return new ConfigError(unclosed.line, unclosed.column, "unclosed '" + unclosed.character + "'");
  }

  /**
   * Checks one token and stops at its last character.
   *
   * @return the error, or null if there is none
   */
  private ConfigError checkToken() {
    char character = text.charAt(position);
    if (character == '#' || text.startsWith("//", position)) {
      skipLineComment();
      return null;
    }
    if (text.startsWith("/*", position)) {
      return skipBlockComment();
    }
    return switch (character) {
      case '"' -> checkString();
      case '=', ':' -> {
        assignments.add(
            new ConfigError(line, column, "'" + character + "' is not part of an attribute"));
        yield null;
      }
      case '{', '[' -> {
        openings.push(new Opening(character, line, column));
        yield null;
      }
      case '}' -> checkClosing('{', character);
      case ']' -> checkClosing('[', character);
      default -> null;
    };
  }

  private ConfigError checkString() {
    ConfigError error =
        new ConfigError(line, column, "unterminated string: no closing quote on this line");
    advance();
    while (position < text.length()
        && text.charAt(position) != '"'
        && text.charAt(position) != '\n') {
      if (text.charAt(position) == '\\' && position + 1 < text.length()) {
        advance();
      }
      advance();
    }
    return position >= text.length() || text.charAt(position) == '\n' ? error : null;
  }

  private void skipLineComment() {
    while (position + 1 < text.length() && text.charAt(position + 1) != '\n') {
      advance();
    }
  }

  private ConfigError skipBlockComment() {
    int end = text.indexOf("*/", position + 2);
    if (end < 0) {
      return new ConfigError(line, column, "unterminated block comment");
    }
    while (position < end + 1) {
      advance();
    }
    return null;
  }

  private ConfigError checkClosing(char opening, char character) {
    return openings.isEmpty() || openings.pop().character != opening
        ? new ConfigError(line, column, "unmatched '" + character + "'")
        : null;
  }

  private void advance() {
    if (text.charAt(position) == '\n') {
      line++;
      column = 1;
    } else {
      column++;
    }
    position++;
  }
}
