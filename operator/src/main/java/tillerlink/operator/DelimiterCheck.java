package tillerlink.operator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Finds the first quote, comment, bracket or brace that is unclosed, or that closes nothing. */
final class DelimiterCheck {
  private record Opening(char character, int line, int column) {}

  private final String text;
  private final ArrayDeque<Opening> openings = new ArrayDeque<>();
  private final List<ConfigError> assignments = new ArrayList<>();
  private int at;
  private int line = 1;
  private int column = 1;

  DelimiterCheck(String text) {
    this.text = text;
  }

  /** Every sign that assigns a value, as the error that it is if no value was read there. */
  List<ConfigError> assignments() {
    return assignments;
  }

  /** Returns the first error, or null if there is none. */
  ConfigError find() {
    while (at < text.length()) {
      ConfigError error = token();
      if (error != null) {
        return error;
      }
      advance();
    }
    if (openings.isEmpty()) {
      return null;
    }
    Opening open = openings.peek();
    return new ConfigError(open.line, open.column, "'" + open.character + "' is not closed");
  }

  /** Checks one token and stops at its last character. */
  private ConfigError token() {
    char character = text.charAt(at);
    if (character == '#' || text.startsWith("//", at)) {
      skipLineComment();
      return null;
    }
    if (text.startsWith("/*", at)) {
      return blockComment();
    }
    return switch (character) {
      case '"' -> quote();
      case '=', ':' -> {
        assignments.add(
            new ConfigError(line, column, "'" + character + "' gives no name a value here"));
        yield null;
      }
      case '{', '[' -> {
        openings.push(new Opening(character, line, column));
        yield null;
      }
      case '}' -> closing('{', character);
      case ']' -> closing('[', character);
      default -> null;
    };
  }

  private ConfigError quote() {
    ConfigError error = new ConfigError(line, column, "a quote that does not end on its line");
    advance();
    while (at < text.length() && text.charAt(at) != '"' && text.charAt(at) != '\n') {
      if (text.charAt(at) == '\\' && at + 1 < text.length()) {
        advance();
      }
      advance();
    }
    return at >= text.length() || text.charAt(at) == '\n' ? error : null;
  }

  private void skipLineComment() {
    while (at + 1 < text.length() && text.charAt(at + 1) != '\n') {
      advance();
    }
  }

  private ConfigError blockComment() {
    int end = text.indexOf("*/", at + 2);
    if (end < 0) {
      return new ConfigError(line, column, "a comment that does not end");
    }
    while (at < end + 1) {
      advance();
    }
    return null;
  }

  private ConfigError closing(char opening, char character) {
    return openings.isEmpty() || openings.pop().character != opening
        ? new ConfigError(line, column, "'" + character + "' closes nothing")
        : null;
  }

  private void advance() {
    if (text.charAt(at) == '\n') {
      line++;
      column = 1;
    } else {
      column++;
    }
    at++;
  }
}
