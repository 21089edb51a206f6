package tillerlink.statements.consensus;

import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Entry;

/**
 * The replicated state machine. It is deterministic: the same entries in the same order lead to the
 * same state on every gateway.
 */
public interface StateMachine {
  /**
   * Applies an entry.
   *
   * @param entry the entry that follows the last applied one
   */
  void apply(Entry entry);

  /** Returns the index of the last applied entry; 0 if none was applied. */
  long applied();

  /** Returns the encoded state, to be stored in a snapshot. */
  byte[] state();

  /**
   * Replaces the state by a later one from a snapshot.
   *
   * @param state the encoded state
   * @throws MalformedMessageException if the bytes cannot be decoded; the state is unchanged then
   */
  void install(byte[] state) throws MalformedMessageException;
}
