package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.Kind;
import tillerlink.fleet.Spec;

/** The block <code>fleet</code>: the emulated fleet of a replay. */
final class FleetPart {
  private FleetPart() {}

  static Fleet read(Section section) {
    if (section == null) {
      return null;
    }
    List<Kind> kinds = kinds(section);
    List<String> zones = section.texts("zones", true);
    List<Spec> specs = engines(section, kinds, zones);
    if (kinds.isEmpty() || specs.isEmpty()) {
      section.fault("a fleet wants kinds and engines");
    }
    Section cold = section.oneOrEmpty("cold");
    Section budget = section.oneOrEmpty("budget");
    Fleet defaults = Fleet.builtIn(1);
    Fleet fleet =
        new Fleet(
            (int) section.whole("gateways", 1, 1000, 3),
            (int) section.whole("sockets", 32, 1 << 20, defaults.sockets()),
            kinds,
            zones,
            specs,
            seconds(section, "notes_every_s", 0.01, defaults.notesEvery()),
            cold.number("start_capacity", 0.01, 1, defaults.startCapacity()),
            seconds(cold, "warm_within_s", 0, defaults.warmWithin()),
            cold.number("fall_multiple", 1, 100, defaults.fallMultiple()),
            seconds(cold, "fall_s", 0, defaults.fall()),
            seconds(section, "drain_grace_s", 0, defaults.drainGrace()),
            budget.number("floor", 0, 1e6, defaults.extraFloor()),
            budget.number("ratio", 0, 10, defaults.furtherRatio()),
            seconds(budget, "span_s", 0.1, defaults.budgetSpan()),
            (int) section.whole("hops_most", 1, 100, defaults.attemptsMost()),
            seconds(section, "come_back_s", 0, defaults.retryAfter()));
    cold.close();
    budget.close();
    section.close();
    return fleet;
  }

  private static List<Kind> kinds(Section fleet) {
    List<Kind> kinds = new ArrayList<>();
    for (Section kind : fleet.all("kind")) {
      kinds.add(
          new Kind(
              kind.label(),
              (int) kind.number("cores", 1, 1024, Units.REQUIRED),
              kind.number("memory_mb", 1, 1e9, Units.REQUIRED),
              false));
      kind.close();
    }
    return kinds;
  }

  private static long seconds(Section section, String name, double min, long otherwise) {
    double seconds = section.number(name, min, Units.DAY_S, otherwise / Units.TENTHS_PER_S);
    return Math.round(seconds * Units.TENTHS_PER_S);
  }

  private static List<Spec> engines(Section fleet, List<Kind> kinds, List<String> zones) {
    List<Spec> specs = new ArrayList<>();
    List<String> kindNames = kinds.stream().map(Kind::name).toList();
    for (Section group : fleet.all("engines")) {
      String name = group.label();
      int kind = index(group, "kind", kindNames);
      int zone = index(group, "zone", zones);
      long count = group.whole("count", 1, 5000, 1);
      for (long i = 1; i <= count; i++) {
        specs.add(new Spec(name + i, kind, zone));
      }
      group.close();
    }
    if (specs.stream().map(Spec::name).distinct().count() < specs.size()) {
      fleet.fault("two engines have the same name");
    }
    return specs;
  }

  private static int index(Section section, String name, List<String> names) {
    String given = section.text(name, null);
    int index = names.indexOf(given);
    if (index < 0 && !given.isEmpty()) {
      section.faultAt(name, "there is no " + name + " '" + given + "'");
    }
    return Math.max(0, index);
  }
}
