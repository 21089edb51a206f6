package tillerlink.statements.prepare;

import java.util.ArrayList;
import java.util.List;

/** A piece of a statement's text; all of them in a row are the text again. */
record Token(Kind kind, String text) {
  /** What a piece of text is; names include keywords, and quoted names with their quotes. */
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
   * Cuts a text into tokens.
   *
   * @throws IllegalArgumentException if a string, a quoted name or a comment has no end
   */
  static List<Token> all(String text) {
    List<Token> tokens = new ArrayList<>();
    for (int at = 0; at < text.length(); ) {
      Token token = tokenAt(text, at);
      tokens.add(token);
      at += token.text.length();
    }
    return tokens;
  }

  private static Token tokenAt(String text, int at) {
    if (text.startsWith(LINE_COMMENT, at)) {
      int end = text.indexOf('\n', at);
      return new Token(Kind.COMMENT, text.substring(at, end < 0 ? text.length() : end));
    }
    if (text.startsWith(COMMENT_START, at)) {
      int end = endOf(text, COMMENT_END, at + COMMENT_START.length());
      return new Token(Kind.COMMENT, text.substring(at, end));
    }
    char first = text.charAt(at);
    return switch (first) {
      case '\'' -> new Token(Kind.STRING, text.substring(at, endOf(text, "'", at + 1)));
      case '"', '`' ->
          new Token(Kind.NAME, text.substring(at, endOf(text, String.valueOf(first), at + 1)));
      default -> unquotedAt(text, at);
    };
  }

  private static Token unquotedAt(String text, int at) {
    if (text.charAt(at) == '$' && isDigit(text, at + 1)) {
      int end = at + 1;
      while (isDigit(text, end)) {
        end++;
      }
      return new Token(Kind.PARAMETER, text.substring(at, end));
    }
    int end = at;
    while (end < text.length() && isNamePart(text.charAt(end))) {
      end++;
    }
    return end > at
        ? new Token(Kind.NAME, text.substring(at, end))
        : new Token(Kind.OTHER, text.substring(at, at + 1));
  }

  private static int endOf(String text, String mark, int from) {
    int found = text.indexOf(mark, from);
    if (found < 0) {
      throw new IllegalArgumentException("the text ends before " + mark);
    }
    return found + mark.length();
  }

  private static boolean isDigit(String text, int at) {
    return at < text.length() && text.charAt(at) >= '0' && text.charAt(at) <= '9';
  }

  private static boolean isNamePart(char character) {
    return Character.isLetterOrDigit(character) || character == '_';
  }
}
