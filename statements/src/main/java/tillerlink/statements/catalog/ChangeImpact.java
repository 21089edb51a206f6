package tillerlink.statements.catalog;

import java.util.Collection;
import java.util.List;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/** The effect of a schema change on a statement. */
final class ChangeImpact {
  private ChangeImpact() {}

  /** Returns the state of a ready statement after the change; ready if it is not affected. */
  static State of(Definition definition, Change change) {
    List<String> uses = definition.uses();
    if (usesAny(uses, change.removed())) {
      return State.INVALID;
    }
    boolean touched =
        usesAny(uses, change.altered())
            || uses.stream().anyMatch(use -> change.renamed().containsKey(use));
    return touched ? State.ANEW : State.READY;
  }

  private static boolean usesAny(List<String> uses, Collection<String> names) {
    return uses.stream().anyMatch(names::contains);
  }
}
