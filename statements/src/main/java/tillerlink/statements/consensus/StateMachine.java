package tillerlink.statements.consensus;

import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Entry;

/** What the log is for: the same entries in the same order give the same state everywhere. */
public interface StateMachine {
  void apply(Entry entry);

  /** The index of the last entry that was applied. */
  long applied();

  byte[] state();

  /** Takes a state that is further than the own one. */
  void install(byte[] state) throws MalformedMessageException;
}
