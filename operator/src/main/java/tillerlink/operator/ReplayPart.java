package tillerlink.operator;

import tillerlink.workload.WorkloadScaling;

/** Reader of the block {@code replay}: the default settings of a replay. */
final class ReplayPart {
  private ReplayPart() {}

  /**
   * Reads the block.
   *
   * @return null if the block is absent
   */
  static OperatorFile.ReplayDefaults read(Section section) {
    if (section == null) {
      return null;
    }
    OperatorFile.ReplayDefaults replay =
        new OperatorFile.ReplayDefaults(
            section.number("load", 0.001, 10, 0.6),
            section.choice("scale", WorkloadScaling.Scale.TIME, WorkloadScaling.Scale.class),
            Math.round(section.number("window_s", 0, 1e7, 3600) * Units.TENTHS_PER_S),
            section.number("estimate_error", 0, 5, 0.4),
            section.number("bad_most", 0, 1, 0.1),
            section.integer("seed", 0, 1L << 40, 1));
    section.reportUnknown();
    return replay;
  }
}
