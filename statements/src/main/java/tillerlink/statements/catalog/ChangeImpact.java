package tillerlink.statements.catalog;

import java.util.Collection;
import java.util.List;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/** Decides what a change of the schema means for a statement. */
final class ChangeImpact {
  private ChangeImpact() {}

  /** The state of a ready statement after the change; ready if the change leaves it untouched. */
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
