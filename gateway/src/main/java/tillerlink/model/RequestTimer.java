package tillerlink.model;

/**
 * The timer of one request.
 *
 * @param at when it expires, in tenths of a millisecond
 * @param sequence the order among timers that expire at the same time
 */
record RequestTimer(long at, long sequence, Request request) {}
