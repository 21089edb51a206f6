package tillerlink.store;

import java.util.List;

/**
 * What recovery found, in words for the log, and whether the store may be used.
 *
 * @param state what became of it
 * @param told one line for each thing that was not as it should be
 */
public record RecoveryReport(State state, List<String> told) {
  /** How the store was found. */
  public enum State {
    /** Nothing was there. */
    NEW,
    /** All that was kept is there. */
    WHOLE,
    /** A tail that was never acknowledged, or what lay behind a damage, was cut off. */
    CUT,
    /** Another process has it: nothing was read or touched. */
    LOCKED,
    /** Of a later version, of another owner, or unreadable: nothing was touched. */
    FOREIGN
  }

  public boolean usable() {
    return state == State.NEW || state == State.WHOLE || state == State.CUT;
  }
}
