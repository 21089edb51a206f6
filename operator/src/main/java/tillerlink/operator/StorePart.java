package tillerlink.operator;

/** Reader of the block {@code store}: the persistent store of a gateway. */
final class StorePart {
  private static final int SECONDS_PER_HOUR = 3600;

  private StorePart() {}

  /**
   * Reads the block.
   *
   * @return null if the block is absent
   */
  static OperatorFile.StoreConfig read(Section section) {
    if (section == null) {
      return null;
    }
    OperatorFile.StoreConfig store =
        new OperatorFile.StoreConfig(
            section.string("folder", null),
            Math.round(
                section.number("too_old_h", 0.01, 24 * 365, 24)
                    * SECONDS_PER_HOUR
                    * Units.TENTHS_PER_S),
            section.integer("memory_mb", 1, 1024, 16) << 20);
    section.reportUnknown();
    return store;
  }
}
