package tillerlink.net.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** A small lexer of statements, for the group of tables that one reads or writes. */
public final class StatementTableScanner {
  private static final Set<String> BEFORE_TABLES =
      Set.of("from", "join", "into", "update", "table", "using");
  private static final String SCRATCH = "staging";

  private StatementTableScanner() {}

  /**
   * The number behind the underscore in the schema's name, or 0 if there is none. Names where
   * tables stand come first; names in strings and comments and the scratch schema never count.
   */
  public static int tableGroup(String statement) {
    List<String> tokens = tokens(statement);
    int elsewhere = 0;
    boolean tables = false;
    for (int i = 0; i < tokens.size(); i++) {
      String token = tokens.get(i);
      boolean schema =
          i + 2 < tokens.size()
              && tokens.get(i + 1).equals(".")
              && (i + 3 >= tokens.size() || !tokens.get(i + 3).equals("."));
      int group = schema ? group(token) : 0;
      if (group > 0 && tables) {
        return group;
      }
      elsewhere = elsewhere == 0 ? group : elsewhere;
      boolean part =
          token.equals(".")
              || i > 0 && tokens.get(i - 1).equals(".")
              || schema
              || token.equals(",");
      tables = BEFORE_TABLES.contains(token) || tables && part;
    }
    return elsewhere;
  }

  private static int group(String name) {
    int underscore = name.lastIndexOf('_');
    String digits = name.substring(underscore + 1);
    if (underscore <= 0
        || digits.length() > 9
        || !Ascii.digits(digits)
        || name.substring(0, underscore).equals(SCRATCH)) {
      return 0;
    }
    return Integer.parseInt(digits);
  }

  /** Names in small letters, and single marks; strings and comments are left out. */
  private static List<String> tokens(String text) {
    List<String> tokens = new ArrayList<>();
    int at = 0;
    while (at < text.length()) {
      char c = text.charAt(at);
      if (text.startsWith("--", at)) {
        at = after(text, "\n", at + 2);
      } else if (text.startsWith("/*", at)) {
        at = after(text, "*/", at + 2);
      } else if (c == '\'') {
        at = after(text, "'", at + 1);
        tokens.add("'");
      } else if (c == '"' || c == '`') {
        int end = after(text, String.valueOf(c), at + 1);
        tokens.add(text.substring(at + 1, Math.max(at + 1, end - 1)));
        at = end;
      } else if (inName(c)) {
        int end = at;
        while (end < text.length() && inName(text.charAt(end))) {
          end++;
        }
        tokens.add(text.substring(at, end).toLowerCase(Locale.ROOT));
        at = end;
      } else {
        if (!Character.isWhitespace(c)) {
          tokens.add(String.valueOf(c));
        }
        at++;
      }
    }
    return tokens;
  }

  private static int after(String text, String mark, int from) {
    int found = text.indexOf(mark, from);
    return found < 0 ? text.length() : found + mark.length();
  }

  private static boolean inName(char c) {
    return Character.isLetterOrDigit(c) || c == '_' || c == '$';
  }
}
