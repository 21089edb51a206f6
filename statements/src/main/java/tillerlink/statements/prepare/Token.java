package tillerlink.statements.prepare;

import java.util.ArrayList;
import java.util.List;

/** A token of a statement's text. The tokens of a text, concatenated in order, form the text. */
record Token(Kind kind, String text) {
  /** The kind of a token. Names include keywords, and quoted names with their quotes. */
  enum Kind {
    NAME,
    PARAMETER,
    STRING,
    COMMENT,
    OTHER
  }

  private static final String LINE_COMMENT = "--";
  private static final String COMMENT_START = "/*";
  private static final String COMMENT_END = "*/";

  /**
   * Splits a text into tokens.
   *
   * @throws IllegalArgumentException if a string, a quoted name or a comment is not terminated
   */
  static List<Token> tokenize(String text) {
    List<Token> tokens = new ArrayList<>();
    for (int start = 0; start < text.length(); ) {
      Token token = tokenAt(text, start);
      tokens.add(token);
      start += token.text.length();
    }
    return tokens;
  }

  private static Token tokenAt(String text, int start) {
    if (text.startsWith(LINE_COMMENT, start)) {
      int end = text.indexOf('\n', start);
      return new Token(Kind.COMMENT, text.substring(start, end < 0 ? text.length() : end));
    }
    if (text.startsWith(COMMENT_START, start)) {
      int end = endOf(text, COMMENT_END, start + COMMENT_START.length());
      return new Token(Kind.COMMENT, text.substring(start, end));
    }
    char first = text.charAt(start);
    return switch (first) {
      case '\'' -> new Token(Kind.STRING, text.substring(start, endOf(text, "'", start + 1)));
      case '"', '`' ->
          new Token(
              Kind.NAME, text.substring(start, endOf(text, String.valueOf(first), start + 1)));
      default -> unquotedAt(text, start);
    };
  }

  private static Token unquotedAt(String text, int start) {
    if (text.charAt(start) == '$' && isDigit(text, start + 1)) {
      int end = start + 1;
      while (isDigit(text, end)) {
        end++;
      }
      return new Token(Kind.PARAMETER, text.substring(start, end));
    }
    int end = start;
    while (end < text.length() && isIdentifierPart(text.charAt(end))) {
      end++;
    }
    return end > start
        ? new Token(Kind.NAME, text.substring(start, end))
        : new Token(Kind.OTHER, text.substring(start, start + 1));
  }

  private static int endOf(String text, String delimiter, int from) {
    int found = text.indexOf(delimiter, from);
    if (found < 0) {
      throw new IllegalArgumentException("the text ends before " + delimiter);
    }
    return found + delimiter.length();
  }

  private static boolean isDigit(String text, int index) {
    return index < text.length() && text.charAt(index) >= '0' && text.charAt(index) <= '9';
  }

  private static boolean isIdentifierPart(char character) {
    return Character.isLetterOrDigit(character) || character == '_';
  }
}
