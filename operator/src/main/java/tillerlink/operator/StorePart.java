package tillerlink.operator;

/** The block <code>store</code>. */
final class StorePart {
  private static final int SECONDS_PER_HOUR = 3600;

  private StorePart() {}

  static OperatorFile.StoreConfig read(Section section) {
    if (section == null) {
      return null;
    }
    OperatorFile.StoreConfig store =
        new OperatorFile.StoreConfig(
            section.text("folder", null),
            Math.round(
                section.number("too_old_h", 0.01, 24 * 365, 24)
                    * SECONDS_PER_HOUR
                    * Units.TENTHS_PER_S),
            section.whole("memory_mb", 1, 1024, 16) << 20);
    section.close();
    return store;
  }
}
