package tillerlink.channels.entry;

import tillerlink.messages.channels.Dot;

/** What became of an append. */
public sealed interface AppendResult {
  /** It is kept here and is never lost from now on but with this disk. */
  record Taken(Dot id, boolean again) implements AppendResult {}

  /**
   * @param comeBack tenths of a millisecond after which asking again may help; 0 if it won't
   */
  record Refused(String why, long retryAfter) implements AppendResult {}
}
