package tillerlink.audit;

/**
 * A violation of a rule.
 *
 * @param at tenths of a millisecond
 * @param what happened, for people
 */
public record Violation(Rule rule, long at, String what) {}
