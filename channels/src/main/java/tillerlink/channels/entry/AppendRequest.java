package tillerlink.channels.entry;

import java.util.List;
import java.util.Optional;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Kind;

/**
 * What a client wants appended.
 *
 * @param cue names the cue; empty for a note only
 * @param text of the cue or the correction; for the others a word to people
 * @param airsAt milliseconds since 1970 for an air mark, otherwise 0
 * @param key the client's own key: asked again with it, the event is the same; empty for none
 * @param seen events on this cue that the client had before its eyes; null if it doesn't say, then
 *     what stands at the gateway counts as seen
 */
public record AppendRequest(
    Kind kind, String cue, String text, long airsAt, String key, List<Dot> seen) {
  /** Bytes, so that an event goes in one message that every link carries. */
  public static final int TEXT_MOST = 400;

  public static final int NAME_MOST = 64;
  public static final int SEEN_MOST = 6;

  /** Why it can't be appended, in plain words; empty if it can. */
  public Optional<String> fault() {
    if (kind == null || cue == null || text == null || key == null) {
      return Optional.of("kind, cue, text and key are needed");
    } else if (cue.isEmpty() != (kind == Kind.NOTE)) {
      return Optional.of("all but a note name a cue, and a note names none");
    } else if (bytes(cue) > NAME_MOST || bytes(key) > NAME_MOST) {
      return Optional.of("a cue's name and a key have at most " + NAME_MOST + " bytes");
    } else if (bytes(text) > TEXT_MOST) {
      return Optional.of("a text has at most " + TEXT_MOST + " bytes");
    } else if ((airsAt > 0) != (kind == Kind.AIR) || airsAt < 0 || airsAt > 1L << 42) {
      return Optional.of("an air mark, and nothing else, says when it airs");
    } else if (seen != null && seen.size() > SEEN_MOST) {
      return Optional.of("at most " + SEEN_MOST + " events can be named as seen");
    }
    return Optional.empty();
  }

  private static int bytes(String text) {
    return text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
  }
}
