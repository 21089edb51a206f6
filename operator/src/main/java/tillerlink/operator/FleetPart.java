package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.EngineKind;
import tillerlink.fleet.EngineSpec;
import tillerlink.fleet.Fleet;

/** The block <code>fleet</code>: the emulated fleet of a replay. */
final class FleetPart {
  private FleetPart() {}

  static Fleet read(Section section) {
    if (section == null) {
      return null;
    }
    List<EngineKind> kinds = kinds(section);
    List<String> zones = section.texts("zones", true);
    List<EngineSpec> specs = engines(section, kinds, zones);
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
            seconds(section, "notes_every_s", 0.01, defaults.progressInterval()),
            cold.number("start_capacity", 0.01, 1, defaults.startCapacity()),
            seconds(cold, "warm_within_s", 0, defaults.warmupTime()),
            cold.number("fall_multiple", 1, 100, defaults.overloadFactor()),
            seconds(cold, "fall_s", 0, defaults.overloadWindow()),
            seconds(section, "drain_grace_s", 0, defaults.drainGrace()),
            budget.number("floor", 0, 1e6, defaults.minRetries()),
            budget.number("ratio", 0, 10, defaults.retryRatio()),
            seconds(budget, "span_s", 0.1, defaults.retryBudgetWindow()),
            (int) section.whole("hops_most", 1, 100, defaults.maxAttempts()),
            seconds(section, "come_back_s", 0, defaults.maxRetryAfter()));
    cold.close();
    budget.close();
    section.close();
    return fleet;
  }

  private static List<EngineKind> kinds(Section fleet) {
    List<EngineKind> kinds = new ArrayList<>();
    for (Section kind : fleet.all("kind")) {
      kinds.add(
          new EngineKind(
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

  private static List<EngineSpec> engines(
      Section fleet, List<EngineKind> kinds, List<String> zones) {
    List<EngineSpec> specs = new ArrayList<>();
    List<String> kindNames = kinds.stream().map(EngineKind::name).toList();
    for (Section group : fleet.all("engines")) {
      String name = group.label();
      int kind = index(group, "kind", kindNames);
      int zone = index(group, "zone", zones);
      long count = group.whole("count", 1, 5000, 1);
      for (long i = 1; i <= count; i++) {
        specs.add(new EngineSpec(name + i, kind, zone));
      }
      group.close();
    }
    if (specs.stream().map(EngineSpec::name).distinct().count() < specs.size()) {
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
