package tillerlink.channels.journal;

import tillerlink.messages.channels.Entry;

/**
 * A stable event: one in its final place.
 *
 * @param entry the event
 * @param slot the slot whose cut put it there
 * @param at milliseconds since 1970 at which it counts: when it was written or, if it came late, up
 *     to when the log before it was decided
 * @param late whether it was decided only after events with later stamps
 * @param repeat whether an earlier event has the same key, so that this one changes nothing
 */
public record OrderedEvent(Entry entry, long slot, long at, boolean late, boolean repeat) {}
