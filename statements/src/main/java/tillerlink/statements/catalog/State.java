package tillerlink.statements.catalog;

/**
 * How a statement stands towards the schemas of its groups. The order is that of snapshots: new
 * ones come last.
 */
public enum State {
  /** Prepared under the schemas that are in effect. */
  READY,
  /**
   * A change took effect that it has to be prepared anew for, which one gateway of the fleet does.
   */
  ANEW,
  /** A change took effect under which it can't run; only a client can prepare it again. */
  INVALID
}
