package tillerlink.operator;

/** What is wrong in an operator's file, and where. */
public record Fault(int line, int column, String what) implements Comparable<Fault> {
  @Override
  public int compareTo(Fault other) {
    return line != other.line
        ? Integer.compare(line, other.line)
        : column != other.column
            ? Integer.compare(column, other.column)
            : what.compareTo(other.what);
  }

  @Override
  public String toString() {
    return line + ":" + column + ": " + what;
  }
}
