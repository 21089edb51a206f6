package tillerlink.messages.channels;

import java.util.Optional;

/**
 * Names one event. The stamp is part of the name, so that a writer that has seen the event can
 * stamp its own event later even if the event itself has not arrived yet.
 *
 * @param incarnation one process of one gateway; no other process ever has the same
 * @param sequence the number of the event among those of the process, from 1
 * @param stamp the event's stamp of the hybrid logical clock
 */
public record Dot(long incarnation, long sequence, long stamp) {
  private static final int HEX = 16;
  private static final int PARTS = 3;

  /** Whether both name the same event, whatever the stamps say. */
  public boolean same(Dot other) {
    return incarnation == other.incarnation && sequence == other.sequence;
  }

  /** Returns the name as clients receive and send it. */
  public String text() {
    return Long.toHexString(incarnation) + "-" + sequence + "-" + Long.toHexString(stamp);
  }

  /** Parses what {@link #text} returned; empty if the text is no name of an event. */
  public static Optional<Dot> parse(String text) {
    String[] parts = text.split("-", -1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      Dot dot =
          new Dot(
              Long.parseLong(parts[0], HEX),
              Long.parseLong(parts[1]),
              Long.parseLong(parts[2], HEX));
      return dot.incarnation > 0 && dot.sequence > 0 && dot.stamp > 0
          ? Optional.of(dot)
          : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
