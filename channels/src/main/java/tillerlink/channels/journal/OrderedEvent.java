package tillerlink.channels.journal;

import tillerlink.messages.channels.Entry;

/**
 * A stable event, whose position in the log is final.
 *
 * @param entry the event
 * @param slot the slot whose cut contains the event
 * @param at the event's effective time in milliseconds since 1970: the time at which it was written
 *     or, if it came late, the time up to which the log before it was decided
 * @param late true if the event's stamp is at or below the upper bound of an earlier cut, so that
 *     it may follow events with later stamps
 * @param repeat true if an earlier event has the same idempotency key, so that this one has no
 *     effect
 */
public record OrderedEvent(Entry entry, long slot, long at, boolean late, boolean repeat) {}
