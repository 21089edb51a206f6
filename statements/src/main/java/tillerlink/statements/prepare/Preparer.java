package tillerlink.statements.prepare;

import java.util.Optional;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/** A preparer of statements after a change. It is called only on the leader of the log. */
@FunctionalInterface
public interface Preparer {
  /** Returns the statement for the new schema; empty if it can't be run under that schema. */
  Optional<Definition> prepareAgain(Definition old, Change change);
}
