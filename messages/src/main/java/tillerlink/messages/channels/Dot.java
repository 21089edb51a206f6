package tillerlink.messages.channels;

import java.util.Optional;

/**
 * Names one event: who wrote it (an incarnation is one process of one gateway and never comes
 * twice) and which of its events it is. The stamp goes along, so that whoever has seen the event
 * writes behind it though the event itself is not there yet.
 */
public record Dot(long incarnation, long sequence, long stamp) {
  public boolean same(Dot other) {
    return incarnation == other.incarnation && sequence == other.sequence;
  }

  /** As clients get and give it. */
  public String text() {
    return Long.toHexString(incarnation) + "-" + sequence + "-" + Long.toHexString(stamp);
  }

  /** Empty if that is no such name. */
  public static Optional<Dot> parse(String text) {
    String[] parts = text.split("-", -1);
    if (parts.length != 3) {
      return Optional.empty();
    }
    try {
      Dot dot =
          new Dot(
              Long.parseLong(parts[0], 16), Long.parseLong(parts[1]), Long.parseLong(parts[2], 16));
      return dot.incarnation > 0 && dot.sequence > 0 && dot.stamp > 0
          ? Optional.of(dot)
          : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
