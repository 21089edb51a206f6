package tillerlink.channels.entry;

import tillerlink.messages.channels.Dot;

/** The result of an append. */
public sealed interface AppendResult {
  /**
   * The event is durable here; it can be lost only with this disk.
   *
   * @param id names the event
   * @param again whether it was appended before, by a request with the same key
   */
  record Taken(Dot id, boolean again) implements AppendResult {}

  /**
   * The event is not appended.
   *
   * @param why in words for people
   * @param retryAfter tenths of a millisecond after which a retry may succeed; 0 if none will
   */
  record Refused(String why, long retryAfter) implements AppendResult {}
}
