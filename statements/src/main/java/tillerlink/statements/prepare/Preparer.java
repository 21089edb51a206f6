package tillerlink.statements.prepare;

import java.util.Optional;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/** Prepares a statement again after a change. Called on one gateway, the leader of the log. */
@FunctionalInterface
public interface Preparer {
  /** The statement for the new schema; empty if it can't be run under it. */
  Optional<Definition> prepareAgain(Definition old, Change change);
}
