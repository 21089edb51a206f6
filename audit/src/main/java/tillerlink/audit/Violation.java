package tillerlink.audit;

/** A rule that was broken: when, in tenths of a millisecond, and what was seen. */
public record Violation(Rule rule, long at, String what) {}
