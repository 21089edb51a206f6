package tillerlink.audit;

/**
 * A violation of a rule by a gateway.
 *
 * @param at when it was found, in tenths of a millisecond
 * @param what a description of what happened, for people to read
 */
public record Violation(Rule rule, long at, String what) {}
