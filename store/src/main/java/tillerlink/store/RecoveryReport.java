package tillerlink.store;

import java.util.List;

/**
 * The result of recovery: the state of the store and a log message for each problem found.
 *
 * @param state the state, which determines whether the store is usable and whether data was
 *     truncated
 * @param told the messages, in the order in which recovery found the problems
 */
public record RecoveryReport(State state, List<String> told) {
  /** The state of a store when it was opened. The names of the constants appear in output. */
  public enum State {
    /** The directory contained no store; an empty one was created. */
    NEW,
    /** Recovery found no problem and read the whole table. */
    WHOLE,
    /**
     * The store is usable, but a file was truncated or quarantined. Truncated are a tail that was
     * never acknowledged and all records after a corrupt one.
     */
    CUT,
    /** Another process has locked the store; nothing was read or changed. */
    LOCKED,
    /** The store has a later format version or another owner, or an I/O error occurred. */
    FOREIGN
  }

  /** Returns whether the table may be read and changed. */
  public boolean usable() {
    return state == State.NEW || state == State.WHOLE || state == State.CUT;
  }
}
