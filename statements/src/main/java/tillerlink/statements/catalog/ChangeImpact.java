package tillerlink.statements.catalog;

import java.util.List;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/** Tells apart what a change does to a statement. */
final class ChangeImpact {
  private ChangeImpact() {}

  /** {@link State#READY} is one that the change leaves untouched. */
  static State of(Definition definition, Change change) {
    if (meets(definition.uses(), change.removed())) {
      return State.INVALID;
    }
    boolean anew =
        meets(definition.uses(), change.altered())
            || definition.uses().stream().anyMatch(change.renamed()::containsKey);
    return anew ? State.ANEW : State.READY;
  }

  private static boolean meets(List<String> some, List<String> others) {
    return some.stream().anyMatch(others::contains);
  }
}
