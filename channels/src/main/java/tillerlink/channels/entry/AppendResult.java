package tillerlink.channels.entry;

import tillerlink.messages.channels.Dot;

/** The result of an append request. */
public sealed interface AppendResult {
  /**
   * The result for an event that is durable at this gateway. It can be lost only together with this
   * gateway's disk.
   *
   * @param id the identifier of the event
   * @param again true if an earlier request with the same key had appended the event
   */
  record Taken(Dot id, boolean again) implements AppendResult {}

  /**
   * The result for an event that was not appended.
   *
   * @param why the reason, as a text for the client
   * @param retryAfter tenths of a millisecond after which a retry may succeed; 0 if no retry will
   */
  record Refused(String why, long retryAfter) implements AppendResult {}
}
