package tillerlink.net.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Lexer of SQL statements that finds the group of tables that a statement reads or writes. */
public final class StatementTableScanner {
  private static final Set<String> KEYWORDS_BEFORE_TABLES =
      Set.of("from", "join", "into", "update", "table", "using");

  /** The scratch schema, which belongs to no table group. */
  private static final String SCRATCH_SCHEMA = "staging";

  private static final int MAX_GROUP_DIGITS = 9;
  private static final String LINE_COMMENT = "--";
  private static final String COMMENT_START = "/*";
  private static final String COMMENT_END = "*/";

  /** The token that replaces a string literal. */
  private static final String STRING = "'";

  private static final String DOT = ".";
  private static final String COMMA = ",";

  private StatementTableScanner() {}

  /**
   * Returns the table group of a statement: the number after the underscore in the name of its
   * schema. A schema in a list of tables takes precedence over one elsewhere, such as in a column
   * reference. Names in strings and comments and the scratch schema are ignored.
   *
   * @return the group, or 0 if the statement names none
   */
  public static int tableGroup(String statement) {
    List<String> tokens = tokens(statement);
    int groupElsewhere = 0;
    boolean inTableList = false;
    for (int i = 0; i < tokens.size(); i++) {
      String token = tokens.get(i);
      boolean schema = isSchema(tokens, i);
      int group = schema ? group(token) : 0;
      if (group > 0 && inTableList) {
        return group;
      }
      groupElsewhere = groupElsewhere == 0 ? group : groupElsewhere;
      inTableList =
          KEYWORDS_BEFORE_TABLES.contains(token)
              || (inTableList && (schema || continuesTableList(tokens, i)));
    }
    return groupElsewhere;
  }

  /**
   * Returns whether a token is a schema: the last but one in a sequence of names joined by dots.
   */
  private static boolean isSchema(List<String> tokens, int index) {
    return index + 2 < tokens.size()
        && tokens.get(index + 1).equals(DOT)
        && (index + 3 >= tokens.size() || !tokens.get(index + 3).equals(DOT));
  }

  /**
   * Returns whether a token other than a schema continues a list of tables: a dot, a comma or the
   * name after a dot.
   */
  private static boolean continuesTableList(List<String> tokens, int index) {
    String token = tokens.get(index);
    return token.equals(DOT)
        || token.equals(COMMA)
        || (index > 0 && tokens.get(index - 1).equals(DOT));
  }

  /** Returns the group that a schema name states, or 0 if it states none. */
  private static int group(String name) {
    int underscore = name.lastIndexOf('_');
    String digits = name.substring(underscore + 1);
    if (underscore <= 0
        || digits.length() > MAX_GROUP_DIGITS
        || !Ascii.isDigits(digits)
        || name.substring(0, underscore).equals(SCRATCH_SCHEMA)) {
      return 0;
    }
    return Integer.parseInt(digits);
  }

  /**
   * Splits a statement into tokens: names, which are in lower case unless quoted, and single
   * punctuation characters. Comments and white space are omitted.
   */
  private static List<String> tokens(String text) {
    List<String> tokens = new ArrayList<>();
    int index = 0;
    while (index < text.length()) {
      index = readToken(text, index, tokens);
    }
    return tokens;
  }

  /**
   * Adds the token at an index, unless it is a comment or white space.
   *
   * @return the index after the token
   */
  private static int readToken(String text, int index, List<String> tokens) {
    char first = text.charAt(index);
    if (text.startsWith(LINE_COMMENT, index)) {
      return indexAfter(text, "\n", index + LINE_COMMENT.length());
    }
    if (text.startsWith(COMMENT_START, index)) {
      return indexAfter(text, COMMENT_END, index + COMMENT_START.length());
    }
    if (first == '\'') {
      tokens.add(STRING);
      return indexAfter(text, STRING, index + 1);
    }
    if (first == '"' || first == '`') {
      int end = indexAfter(text, String.valueOf(first), index + 1);
      tokens.add(text.substring(index + 1, Math.max(index + 1, end - 1)));
      return end;
    }
    if (isNameCharacter(first)) {
      int end = nameEnd(text, index);
      tokens.add(text.substring(index, end).toLowerCase(Locale.ROOT));
      return end;
    }
    if (!Character.isWhitespace(first)) {
      tokens.add(String.valueOf(first));
    }
    return index + 1;
  }

  /** Returns the index after the next occurrence of a delimiter, or the length of the text. */
  private static int indexAfter(String text, String delimiter, int from) {
    int found = text.indexOf(delimiter, from);
    return found < 0 ? text.length() : found + delimiter.length();
  }

  private static int nameEnd(String text, int from) {
    int end = from;
    while (end < text.length() && isNameCharacter(text.charAt(end))) {
      end++;
    }
    return end;
  }

  private static boolean isNameCharacter(char character) {
    return Character.isLetterOrDigit(character) || character == '_' || character == '$';
  }
}
