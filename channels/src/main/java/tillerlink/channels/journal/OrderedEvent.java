package tillerlink.channels.journal;

import tillerlink.messages.channels.Entry;

/**
 * An event in its final place.
 *
 * @param slot the agreed step that put it there
 * @param at milliseconds since 1970 at which it counts: when it was written, or, if it came late,
 *     up to when the log before it was agreed on
 * @param late it was written before events that stand before it were, and came after they were
 *     agreed on
 * @param repeat an earlier event has the same key: this one changes nothing
 */
public record OrderedEvent(Entry entry, long slot, long at, boolean late, boolean repeat) {}
