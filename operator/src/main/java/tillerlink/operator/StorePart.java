package tillerlink.operator;

/** The part <code>store</code>. */
final class StorePart {
  private StorePart() {}

  static OperatorFile.Storing read(Section section) {
    if (section == null) {
      return null;
    }
    OperatorFile.Storing store =
        new OperatorFile.Storing(
            section.text("folder", null),
            Math.round(section.number("too_old_h", 0.01, 24 * 365, 24) * 3600 * Units.TENTHS_PER_S),
            section.whole("memory_mb", 1, 1024, 16) << 20);
    section.close();
    return store;
  }
}
