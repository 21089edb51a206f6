package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.EngineKind;
import tillerlink.fleet.EngineSpec;
import tillerlink.fleet.Fleet;

/** Reader of the block {@code fleet}: the emulated fleet of a replay. */
final class FleetPart {
  private FleetPart() {}

  /**
   * Reads the block.
   *
   * @return null if the block is absent
   */
  static Fleet read(Section section) {
    if (section == null) {
      return null;
    }
    List<EngineKind> kinds = readKinds(section);
    List<String> zones = section.strings("zones", true);
    List<EngineSpec> specs = readEngines(section, kinds, zones);
    if (kinds.isEmpty() || specs.isEmpty()) {
      section.error("fleet requires at least one 'kind' block and one 'engines' block");
    }
    Section cold = section.blockOrEmpty("cold");
    Section budget = section.blockOrEmpty("budget");
    Fleet defaults = Fleet.builtIn(1);
    Fleet fleet =
        new Fleet(
            (int) section.integer("gateways", 1, 1000, 3),
            (int) section.integer("sockets", 32, 1 << 20, defaults.sockets()),
            kinds,
            zones,
            specs,
            readSeconds(section, "notes_every_s", 0.01, defaults.progressInterval()),
            cold.number("start_capacity", 0.01, 1, defaults.startCapacity()),
            readSeconds(cold, "warm_within_s", 0, defaults.warmupTime()),
            cold.number("fall_multiple", 1, 100, defaults.overloadFactor()),
            readSeconds(cold, "fall_s", 0, defaults.overloadWindow()),
            readSeconds(section, "drain_grace_s", 0, defaults.drainGrace()),
            budget.number("floor", 0, 1e6, defaults.minRetries()),
            budget.number("ratio", 0, 10, defaults.retryRatio()),
            readSeconds(budget, "span_s", 0.1, defaults.retryBudgetWindow()),
            (int) section.integer("hops_most", 1, 100, defaults.maxAttempts()),
            readSeconds(section, "come_back_s", 0, defaults.maxRetryAfter()));
    cold.reportUnknown();
    budget.reportUnknown();
    section.reportUnknown();
    return fleet;
  }

  private static List<EngineKind> readKinds(Section fleet) {
    List<EngineKind> kinds = new ArrayList<>();
    for (Section kind : fleet.blocks("kind")) {
      kinds.add(
          new EngineKind(
              kind.label(),
              (int) kind.number("cores", 1, 1024, Units.REQUIRED),
              kind.number("memory_mb", 1, 1e9, Units.REQUIRED),
              false));
      kind.reportUnknown();
    }
    return kinds;
  }

  /**
   * Reads a duration in seconds.
   *
   * @param min the minimum, in seconds
   * @param defaultValue the default, in tenths of a millisecond
   * @return tenths of a millisecond
   */
  private static long readSeconds(Section section, String name, double min, long defaultValue) {
    double seconds = section.number(name, min, Units.DAY_S, defaultValue / Units.TENTHS_PER_S);
    return Math.round(seconds * Units.TENTHS_PER_S);
  }

  /** Returns the engines; each is named by the label of its block and a number counted from 1. */
  private static List<EngineSpec> readEngines(
      Section fleet, List<EngineKind> kinds, List<String> zones) {
    List<EngineSpec> specs = new ArrayList<>();
    List<String> kindNames = kinds.stream().map(EngineKind::name).toList();
    for (Section group : fleet.blocks("engines")) {
      String name = group.label();
      int kind = readIndex(group, "kind", kindNames);
      int zone = readIndex(group, "zone", zones);
      long count = group.integer("count", 1, 5000, 1);
      for (long i = 1; i <= count; i++) {
        specs.add(new EngineSpec(name + i, kind, zone));
      }
      group.reportUnknown();
    }
    if (specs.stream().map(EngineSpec::name).distinct().count() < specs.size()) {
      fleet.error(
          "duplicate engine name in fleet; an engine's name is its block's label and a number");
    }
    return specs;
  }

  /**
   * Reads a name and returns its index in a list.
   *
   * @return 0 after an error, so that reading continues with a valid index
   */
  private static int readIndex(Section section, String name, List<String> names) {
    String given = section.string(name, null);
    int index = names.indexOf(given);
    if (index < 0 && !given.isEmpty()) {
      section.errorAt(name, "unknown " + name + " '" + given + "'");
    }
    return Math.max(0, index);
  }
}
