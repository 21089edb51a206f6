package tillerlink.operator;

import java.util.Comparator;

/**
 * An error in an operator's file. Errors are ordered by position, then by message.
 *
 * @param line the line, counted from 1
 * @param column the column, counted from 1
 * @param what the message
 */
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
