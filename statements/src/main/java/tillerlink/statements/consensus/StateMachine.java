package tillerlink.statements.consensus;

import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Entry;

/**
 * The replicated state machine: the same entries in the same order give the same state on every
 * gateway.
 */
public interface StateMachine {
  /** Applies the entry behind the last one that was applied. */
  void apply(Entry entry);

  /** The index of the last entry that was applied. */
  long applied();

  /** The state as bytes for a snapshot. */
  byte[] state();

  /**
   * Replaces the state by a further one from a snapshot.
   *
   * @throws MalformedMessageException if the bytes are no state; then the state stays
   */
  void install(byte[] state) throws MalformedMessageException;
}
