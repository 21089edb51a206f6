package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.Kind;
import tillerlink.fleet.Spec;

/** The part <code>fleet</code>: what a replay is played on. */
final class FleetPart {
  private FleetPart() {}

  static Fleet read(Section section) {
    if (section == null) {
      return null;
    }
    List<Kind> kinds = new ArrayList<>();
    for (Section kind : section.all("kind")) {
      kinds.add(
          new Kind(
              kind.label(),
              (int) kind.number("cores", 1, 1024, Units.NONE),
              kind.number("memory_mb", 1, 1e9, Units.NONE),
              false));
      kind.close();
    }
    List<String> zones = section.texts("zones", true);
    List<Spec> specs = engines(section, kinds, zones);
    if (kinds.isEmpty() || specs.isEmpty()) {
      section.fault("a fleet wants kinds and engines");
    }
    Section cold = section.one("cold");
    Section budget = section.one("budget");
    Fleet plain = Fleet.builtIn(1);
    Fleet fleet =
        new Fleet(
            (int) section.whole("gateways", 1, 1000, 3),
            (int) section.whole("sockets", 32, 1 << 20, plain.sockets()),
            kinds,
            zones,
            specs,
            seconds(section, "notes_every_s", 0.01, plain.notesEvery()),
            cold == null
                ? plain.startCapacity()
                : cold.number("start_capacity", 0.01, 1, plain.startCapacity()),
            cold == null
                ? plain.warmWithin()
                : seconds(cold, "warm_within_s", 0, plain.warmWithin()),
            cold == null
                ? plain.fallMultiple()
                : cold.number("fall_multiple", 1, 100, plain.fallMultiple()),
            cold == null ? plain.fall() : seconds(cold, "fall_s", 0, plain.fall()),
            seconds(section, "drain_grace_s", 0, plain.drainGrace()),
            budget == null
                ? plain.extraFloor()
                : budget.number("floor", 0, 1e6, plain.extraFloor()),
            budget == null
                ? plain.furtherRatio()
                : budget.number("ratio", 0, 10, plain.furtherRatio()),
            budget == null
                ? plain.budgetSpan()
                : seconds(budget, "span_s", 0.1, plain.budgetSpan()),
            (int) section.whole("hops_most", 1, 100, plain.attemptsMost()),
            seconds(section, "come_back_s", 0, plain.retryAfter()));
    if (cold != null) {
      cold.close();
    }
    if (budget != null) {
      budget.close();
    }
    section.close();
    return fleet;
  }

  private static long seconds(Section section, String name, double least, long otherwise) {
    double seconds = section.number(name, least, Units.DAY_S, otherwise / Units.TENTHS_PER_S);
    return Math.round(seconds * Units.TENTHS_PER_S);
  }

  private static List<Spec> engines(Section fleet, List<Kind> kinds, List<String> zones) {
    List<Spec> specs = new ArrayList<>();
    List<String> kindNames = kinds.stream().map(Kind::name).toList();
    for (Section group : fleet.all("engines")) {
      String name = group.label();
      int kind = place(group, "kind", kindNames);
      int zone = place(group, "zone", zones);
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

  private static int place(Section section, String name, List<String> of) {
    String given = section.text(name, null);
    int place = of.indexOf(given);
    if (place < 0 && !given.isEmpty()) {
      section.faultAt(name, "there is no " + name + " '" + given + "'");
    }
    return Math.max(0, place);
  }
}
