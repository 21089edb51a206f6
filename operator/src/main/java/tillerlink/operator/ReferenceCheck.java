package tillerlink.operator;

import java.util.List;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;

/** Checks the names by which one block refers to another. */
final class ReferenceCheck {
  private ReferenceCheck() {}

  static void check(Section all, OperatorFile file) {
    checkSharedState(all, file);
    if (file.fleet() != null) {
      checkReplay(all, file.fleet());
    }
  }

  /** Channels and statements need membership and a store. */
  private static void checkSharedState(Section all, OperatorFile file) {
    for (String part : List.of("channels", "statements")) {
      Section section = all.one(part);
      if (section != null && (file.members() == null || file.store() == null)) {
        section.fault(part + " wants the parts members and store too");
      }
    }
    if (file.channels() != null
        && file.members() != null
        && !file.members().site().isEmpty()
        && !file.channels().sites().contains(file.members().site())) {
      all.one("channels")
          .faultAt(
              "sites",
              "the site '" + file.members().site() + "' of this gateway is not among 'sites'");
    }
  }

  /** Request classes and troubles refer to existing kinds, engines and gateways. */
  private static void checkReplay(Section all, Fleet fleet) {
    for (Section requestClass : all.all("track")) {
      for (String kind : requestClass.texts("kinds", false)) {
        if (fleet.kindNamed(kind) < 0) {
          requestClass.faultAt("kinds", "there is no kind '" + kind + "' in the fleet");
        }
      }
    }
    for (Section trouble : all.all("trouble")) {
      String whom = trouble.text("whom", "?");
      boolean killed =
          trouble.text("what", "?").equalsIgnoreCase(ScheduledFault.What.KILLED.name());
      boolean known =
          killed
              ? isGateway(whom, fleet)
              : fleet.engines().stream().anyMatch(engine -> engine.name().equals(whom));
      if (!known) {
        trouble.faultAt(
            "whom", "there is no " + (killed ? "gateway" : "engine") + " '" + whom + "'");
      }
    }
  }

  private static boolean isGateway(String name, Fleet fleet) {
    return name.matches("n[0-9]{1,4}") && Integer.parseInt(name.substring(1)) < fleet.gateways();
  }
}
