package tillerlink.channels.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Kind;

/**
 * A client's request to append an event to a channel.
 *
 * @param kind the kind of the event
 * @param cue the name of the cue; empty for a note, and for no other kind
 * @param text the text of a cue or correction; for other kinds a remark for human readers
 * @param airsAt the air time of an air mark in milliseconds since 1970; 0 for other kinds
 * @param key the client's idempotency key, with which a retry returns the same event; empty if the
 *     client gives no key
 * @param seen the events on this cue that the client had read; null if the client does not report
 *     them, in which case all events on the cue that this gateway has count as seen
 */
public record AppendRequest(
    Kind kind, String cue, String text, long airsAt, String key, List<Dot> seen) {
  /**
   * The maximum length of a text in bytes of UTF-8, so that an event fits in a message small enough
   * for every link.
   */
  public static final int MAX_TEXT_BYTES = 400;

  /** The maximum length of a cue's name and of a key, in bytes of UTF-8. */
  public static final int MAX_NAME_BYTES = 64;

  /** The maximum number of events that a request can name as seen. */
  public static final int MAX_SEEN = 6;

  private static final long MAX_AIRS_AT = 1L << 42;

  /**
   * Validates the request.
   *
   * @return the reason why the event cannot be appended, as a text for the client; empty if the
   *     request is valid
   */
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
