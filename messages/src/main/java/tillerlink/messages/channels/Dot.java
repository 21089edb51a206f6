package tillerlink.messages.channels;

import java.util.Optional;

/**
 * The identifier of one event. It includes the stamp, so that a writer that knows the identifier
 * can give its own event a later stamp even if the event itself has not arrived yet.
 *
 * @param incarnation the process of a gateway that wrote the event; unique among all processes
 * @param sequence the sequence number of the event among those of the process, from 1
 * @param stamp the event's stamp of the hybrid logical clock
 */
public record Dot(long incarnation, long sequence, long stamp) {
  private static final int HEX_RADIX = 16;
  private static final int PART_COUNT = 3;

  /** Returns whether both identify the same event; the stamps are not compared. */
  public boolean same(Dot other) {
    return incarnation == other.incarnation && sequence == other.sequence;
  }

  /** Returns the text form that clients receive and send. */
  public String text() {
    return Long.toHexString(incarnation) + "-" + sequence + "-" + Long.toHexString(stamp);
  }

  /**
   * Parses the form of {@link #text}; returns empty if the text is not a valid event identifier.
   */
  public static Optional<Dot> parse(String text) {
    String[] parts = text.split("-", -1);
    if (parts.length != PART_COUNT) {
      return Optional.empty();
    }
    try {
      Dot dot =
          new Dot(
              Long.parseLong(parts[0], HEX_RADIX),
              Long.parseLong(parts[1]),
              Long.parseLong(parts[2], HEX_RADIX));
      return dot.incarnation > 0 && dot.sequence > 0 && dot.stamp > 0
          ? Optional.of(dot)
          : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
