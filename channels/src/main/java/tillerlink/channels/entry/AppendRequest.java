package tillerlink.channels.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Kind;

/**
 * An event that a client wants appended.
 *
 * @param kind what the event says
 * @param cue the name of the cue; empty for a note only
 * @param text the text of the cue or the correction; of other kinds a remark for people
 * @param airsAt milliseconds since 1970 for an air mark, otherwise 0
 * @param key the client's idempotency key: a retry with it gives the same event; empty for none
 * @param seen events on this cue that the client had read; null if it doesn't say, then all that
 *     this gateway holds counts as seen
 */
public record AppendRequest(
    Kind kind, String cue, String text, long airsAt, String key, List<Dot> seen) {
  /** Bytes of a text at the most, so that an event fits in a message that every link carries. */
  public static final int MAX_TEXT_BYTES = 400;

  /** Bytes of a cue's name, or of a key, at the most. */
  public static final int MAX_NAME_BYTES = 64;

  /** Events that can be named as seen. */
  public static final int MAX_SEEN = 6;

  private static final long MAX_AIRS_AT = 1L << 42;

  /** Returns why the event can't be appended, in words for people; empty if it can. */
  public Optional<String> fault() {
    if (kind == null || cue == null || text == null || key == null) {
      return Optional.of("kind, cue, text and key are needed");
    } else if (cue.isEmpty() != (kind == Kind.NOTE)) {
      return Optional.of("all but a note name a cue, and a note names none");
    } else if (bytes(cue) > MAX_NAME_BYTES || bytes(key) > MAX_NAME_BYTES) {
      return Optional.of("a cue's name and a key have at most " + MAX_NAME_BYTES + " bytes");
    } else if (bytes(text) > MAX_TEXT_BYTES) {
      return Optional.of("a text has at most " + MAX_TEXT_BYTES + " bytes");
    } else if (!isAirsAtValid()) {
      return Optional.of("an air mark, and nothing else, says when it airs");
    }
    return seenFault();
  }

  private boolean isAirsAtValid() {
    return (airsAt > 0) == (kind == Kind.AIR) && airsAt >= 0 && airsAt <= MAX_AIRS_AT;
  }

  private Optional<String> seenFault() {
    return seen != null && seen.size() > MAX_SEEN
        ? Optional.of("at most " + MAX_SEEN + " events can be named as seen")
        : Optional.empty();
  }

  private static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }
}
