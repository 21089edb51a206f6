package tillerlink.net.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** A small lexer of SQL statements, which finds the group of tables that one reads or writes. */
public final class StatementTableScanner {
  private static final Set<String> KEYWORDS_BEFORE_TABLES =
      Set.of("from", "join", "into", "update", "table", "using");
  private static final String SCRATCH_SCHEMA = "staging";
  private static final int MAX_GROUP_DIGITS = 9;
  private static final String LINE_COMMENT = "--";
  private static final String COMMENT_START = "/*";
  private static final String COMMENT_END = "*/";

  /** The token that stands for a string. */
  private static final String STRING = "'";

  private static final String DOT = ".";
  private static final String COMMA = ",";

  private StatementTableScanner() {}

  /**
   * The number behind the underscore in the name of the statement's schema, or 0 if there is none.
   * Names where tables stand come first; names in strings and comments and the scratch schema never
   * count.
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

  /** Whether a name is the last but one of those joined by dots: the schema of a table. */
  private static boolean isSchema(List<String> tokens, int index) {
    return index + 2 < tokens.size()
        && tokens.get(index + 1).equals(DOT)
        && (index + 3 >= tokens.size() || !tokens.get(index + 3).equals(DOT));
  }

  /** Whether a token is a part of a list of tables, beside the names of schemas. */
  private static boolean continuesTableList(List<String> tokens, int index) {
    String token = tokens.get(index);
    return token.equals(DOT)
        || token.equals(COMMA)
        || (index > 0 && tokens.get(index - 1).equals(DOT));
  }

  private static int group(String name) {
    int underscore = name.lastIndexOf('_');
    String digits = name.substring(underscore + 1);
    if (underscore <= 0
        || digits.length() > MAX_GROUP_DIGITS
        || !Ascii.digits(digits)
        || name.substring(0, underscore).equals(SCRATCH_SCHEMA)) {
      return 0;
    }
    return Integer.parseInt(digits);
  }

  /** Names in lower case unless quoted, and single marks; comments and white space are left out. */
  private static List<String> tokens(String text) {
    List<String> tokens = new ArrayList<>();
    int at = 0;
    while (at < text.length()) {
      at = readToken(text, at, tokens);
    }
    return tokens;
  }

  /** Adds the token at a place, unless it is to be left out, and returns the place behind it. */
  private static int readToken(String text, int at, List<String> tokens) {
    char first = text.charAt(at);
    if (text.startsWith(LINE_COMMENT, at)) {
      return after(text, "\n", at + LINE_COMMENT.length());
    }
    if (text.startsWith(COMMENT_START, at)) {
      return after(text, COMMENT_END, at + COMMENT_START.length());
    }
    if (first == '\'') {
      tokens.add(STRING);
      return after(text, STRING, at + 1);
    }
    if (first == '"' || first == '`') {
      int end = after(text, String.valueOf(first), at + 1);
      tokens.add(text.substring(at + 1, Math.max(at + 1, end - 1)));
      return end;
    }
    if (isNameCharacter(first)) {
      int end = nameEnd(text, at);
      tokens.add(text.substring(at, end).toLowerCase(Locale.ROOT));
      return end;
    }
    if (!Character.isWhitespace(first)) {
      tokens.add(String.valueOf(first));
    }
    return at + 1;
  }

  private static int after(String text, String mark, int from) {
    int found = text.indexOf(mark, from);
    return found < 0 ? text.length() : found + mark.length();
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
