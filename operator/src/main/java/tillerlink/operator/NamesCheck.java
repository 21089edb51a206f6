package tillerlink.operator;

import java.util.List;
import tillerlink.fleet.Fleet;

/** Names that lead from one part to another. */
final class NamesCheck {
  private NamesCheck() {}

  static void check(Section all, OperatorFile file) {
    shared(all, file);
    if (file.fleet() != null) {
      replayed(all, file.fleet());
    }
  }

  /** What gateways share stands on knowing each other and on a disk. */
  private static void shared(Section all, OperatorFile file) {
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

  /** What a replay names must be there. */
  private static void replayed(Section all, Fleet fleet) {
    for (Section requestClass : all.all("track")) {
      for (String kind : requestClass.texts("kinds", false)) {
        if (fleet.kindNamed(kind) < 0) {
          requestClass.faultAt("kinds", "there is no kind '" + kind + "' in the fleet");
        }
      }
    }
    for (Section trouble : all.all("trouble")) {
      String whom = trouble.text("whom", "?");
      boolean gateway =
          whom.matches("n[0-9]{1,4}") && Integer.parseInt(whom.substring(1)) < fleet.gateways();
      boolean killed = trouble.text("what", "?").equalsIgnoreCase("killed");
      if (killed && !gateway
          || !killed && fleet.engines().stream().noneMatch(e -> e.name().equals(whom))) {
        trouble.faultAt(
            "whom", "there is no " + (killed ? "gateway" : "engine") + " '" + whom + "'");
      }
    }
  }
}
