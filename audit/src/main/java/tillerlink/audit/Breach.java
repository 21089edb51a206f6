package tillerlink.audit;

/** A rule that was broken: when, in tenths of a millisecond, and what was seen. */
public record Breach(Rule rule, long at, String what) {}
