package tillerlink.statements.prepare;

import java.util.Optional;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/**
 * Prepares a statement anew after a change. Asked at one gateway of the fleet, the leader of the
 * log.
 */
@FunctionalInterface
public interface Preparer {
  /** Empty if it can't run under the new schema. */
  Optional<Definition> anew(Definition old, Change change);
}
