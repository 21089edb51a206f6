package tillerlink.members.state;

/** What became of a gossip update that was merged into the {@link MemberTable}. */
public enum MergeOutcome {
  /** It changed the table: to be gossiped further. */
  CHANGED,
  /** It says what is known already. */
  KNOWN,
  /** What is known takes precedence over it. */
  OUTDATED,
  /** It is not to be believed before the member itself was probed. */
  NEEDS_PROBE,
  /** It is of a member for which the table has no capacity. */
  TABLE_FULL
}
