package tillerlink.operator;

import java.util.Comparator;

/** An error in an operator's file, and its place. */
public record ConfigError(int line, int column, String what) implements Comparable<ConfigError> {
  private static final Comparator<ConfigError> ORDER =
      Comparator.comparingInt(ConfigError::line)
          .thenComparingInt(ConfigError::column)
          .thenComparing(ConfigError::what);

  @Override
  public int compareTo(ConfigError other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return line + ":" + column + ": " + what;
  }
}
