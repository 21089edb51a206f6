package tillerlink.store;

import java.util.List;

/**
 * The result of recovery: the state in which the store was, and a line for the log about each thing
 * that was not in order.
 *
 * @param state whether the store is usable, and if so whether anything was lost
 * @param told the lines, in the order in which recovery came upon them
 */
public record RecoveryReport(State state, List<String> told) {
  /** The state of a store when it was opened. Its constants' names are printed. */
  public enum State {
    /** There was no store; an empty one was created. */
    NEW,
    /** Everything was read. */
    WHOLE,
    /** A tail that was never acknowledged, or what followed a corrupt record, was truncated. */
    CUT,
    /** Another process holds the lock; nothing was read or changed. */
    LOCKED,
    /** Of a later version, of another owner, or unreadable. */
    FOREIGN
  }

  /** Whether the table may be read and changed. */
  public boolean usable() {
    return state == State.NEW || state == State.WHOLE || state == State.CUT;
  }
}
