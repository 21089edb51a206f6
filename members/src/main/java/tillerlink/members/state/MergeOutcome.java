package tillerlink.members.state;

/** The outcome of merging a gossip update into the {@link MemberTable}. */
public enum MergeOutcome {
  /** The update changed the table and must be gossiped further. */
  CHANGED,
  /** The update contains nothing new to gossip. */
  KNOWN,
  /** The known state takes precedence over the update. */
  OUTDATED,
  /** The update is not accepted until the member itself has been probed. */
  NEEDS_PROBE,
  /** The update was rejected because the table has no capacity for the member. */
  TABLE_FULL
}
