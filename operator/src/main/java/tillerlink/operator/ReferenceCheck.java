package tillerlink.operator;

import java.util.List;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;

/** Validation of references between the blocks of an operator's file. */
final class ReferenceCheck {
  private ReferenceCheck() {}

  /** Records an error for each reference to a block or name that does not exist. */
  static void check(Section root, OperatorFile file) {
    checkSharedState(root, file);
    if (file.fleet() != null) {
      checkReplay(root, file.fleet());
    }
  }

  /**
   * Checks that membership and a store are configured if channels or statements are, and that the
   * sites of the channels include the site of this gateway.
   */
  private static void checkSharedState(Section root, OperatorFile file) {
    for (String block : List.of("channels", "statements")) {
      Section section = root.block(block);
      if (section != null && (file.members() == null || file.store() == null)) {
        section.error(block + " requires the blocks 'members' and 'store'");
      }
    }
    if (file.channels() != null
        && file.members() != null
        && !file.members().site().isEmpty()
        && !file.channels().sites().contains(file.members().site())) {
      root.block("channels")
          .errorAt(
              "sites",
              "'sites' does not contain '" + file.members().site() + "', the site of this gateway");
    }
  }

  /**
   * Checks that request classes refer to engine kinds of the fleet, and troubles to its engines and
   * gateways.
   */
  private static void checkReplay(Section root, Fleet fleet) {
    for (Section requestClass : root.blocks("track")) {
      for (String kind : requestClass.strings("kinds", false)) {
        if (fleet.kindNamed(kind) < 0) {
          requestClass.errorAt("kinds", "the fleet has no kind '" + kind + "'");
        }
      }
    }
    for (Section trouble : root.blocks("trouble")) {
      String target = trouble.string("whom", "?");
      boolean killed =
          trouble.string("what", "?").equalsIgnoreCase(ScheduledFault.What.KILLED.name());
      boolean known =
          killed
              ? isGateway(target, fleet)
              : fleet.engines().stream().anyMatch(engine -> engine.name().equals(target));
      if (!known) {
        trouble.errorAt(
            "whom", "the fleet has no " + (killed ? "gateway" : "engine") + " '" + target + "'");
      }
    }
  }

  /** Returns whether a name is n0, n1 and so on, up to the number of gateways of the fleet. */
  private static boolean isGateway(String name, Fleet fleet) {
    return name.matches("n[0-9]{1,4}") && Integer.parseInt(name.substring(1)) < fleet.gateways();
  }
}
