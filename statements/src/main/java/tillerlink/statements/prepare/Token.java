package tillerlink.statements.prepare;

import java.util.ArrayList;
import java.util.List;

/** A piece of a statement's text; all of them in a row are the text again. */
record Token(Kind kind, String text) {
  enum Kind {
    NAME,
    PARAMETER,
    STRING,
    COMMENT,
    OTHER
  }

  /**
   * @throws IllegalArgumentException if a string, a quoted name or a comment has no end
   */
  static List<Token> all(String text) {
    List<Token> tokens = new ArrayList<>();
    for (int at = 0; at < text.length(); ) {
      Token token = at(text, at);
      tokens.add(token);
      at += token.text.length();
    }
    return tokens;
  }

  private static Token at(String text, int at) {
    char c = text.charAt(at);
    if (text.startsWith("--", at)) {
      int end = text.indexOf('\n', at);
      return new Token(Kind.COMMENT, text.substring(at, end < 0 ? text.length() : end));
    } else if (text.startsWith("/*", at)) {
      return new Token(Kind.COMMENT, text.substring(at, end(text, "*/", at + 2)));
    } else if (c == '\'') {
      return new Token(Kind.STRING, text.substring(at, end(text, "'", at + 1)));
    } else if (c == '"' || c == '`') {
      return new Token(Kind.NAME, text.substring(at, end(text, String.valueOf(c), at + 1)));
    } else if (c == '$' && digit(text, at + 1)) {
      int end = at + 1;
      while (digit(text, end)) {
        end++;
      }
      return new Token(Kind.PARAMETER, text.substring(at, end));
    } else if (inName(c)) {
      int end = at;
      while (end < text.length() && inName(text.charAt(end))) {
        end++;
      }
      return new Token(Kind.NAME, text.substring(at, end));
    }
    return new Token(Kind.OTHER, String.valueOf(c));
  }

  private static int end(String text, String mark, int from) {
    int found = text.indexOf(mark, from);
    if (found < 0) {
      throw new IllegalArgumentException("the text ends before " + mark);
    }
    return found + mark.length();
  }

  private static boolean digit(String text, int at) {
    return at < text.length() && text.charAt(at) >= '0' && text.charAt(at) <= '9';
  }

  private static boolean inName(char c) {
    return Character.isLetterOrDigit(c) || c == '_';
  }
}
