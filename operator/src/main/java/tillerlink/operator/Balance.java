package tillerlink.operator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Finds the first quote, comment, bracket or brace that is not closed, or closes nothing. */
final class Balance {
  private record Open(char what, int line, int column) {}

  private final String text;
  private final ArrayDeque<Open> open = new ArrayDeque<>();
  private final List<Fault> assigned = new ArrayList<>();
  private int line = 1;
  private int column = 1;

  Balance(String text) {
    this.text = text;
  }

  /** Every sign that gives a name a value, as the fault that it is if nothing was read there. */
  List<Fault> assigned() {
    return assigned;
  }

  /** The fault, or null if there is none. */
  Fault find() {
    for (int i = 0; i < text.length(); i = next(i)) {
      char c = text.charAt(i);
      if (c == '"') {
        Open quote = new Open(c, line, column);
        i = next(i);
        while (i < text.length() && text.charAt(i) != '"' && text.charAt(i) != '\n') {
          i = text.charAt(i) == '\\' && i + 1 < text.length() ? next(i) : i;
          i = next(i);
        }
        if (i >= text.length() || text.charAt(i) == '\n') {
          return new Fault(quote.line, quote.column, "a quote that does not end on its line");
        }
      } else if (c == '#' || text.startsWith("//", i)) {
        while (i + 1 < text.length() && text.charAt(i + 1) != '\n') {
          i = next(i);
        }
      } else if (text.startsWith("/*", i)) {
        Open comment = new Open(c, line, column);
        int end = text.indexOf("*/", i + 2);
        if (end < 0) {
          return new Fault(comment.line, comment.column, "a comment that does not end");
        }
        while (i < end + 1) {
          i = next(i);
        }
      } else if (c == '=' || c == ':') {
        assigned.add(new Fault(line, column, "'" + c + "' gives no name a value here"));
      } else if (c == '{' || c == '[') {
        open.push(new Open(c, line, column));
      } else if (c == '}' || c == ']') {
        char wanted = c == '}' ? '{' : '[';
        if (open.isEmpty() || open.pop().what != wanted) {
          return new Fault(line, column, "'" + c + "' closes nothing");
        }
      }
    }
    return open.isEmpty()
        ? null
        : new Fault(
            open.peek().line, open.peek().column, "'" + open.peek().what + "' is not closed");
  }

  /** Counts one character; the place of the next. */
  private int next(int i) {
    if (text.charAt(i) == '\n') {
      line++;
      column = 1;
    } else {
      column++;
    }
    return i + 1;
  }
}
