package tillerlink.operator;

import tillerlink.operator.OperatorFile.Form;
import tillerlink.operator.OperatorFile.Level;
import tillerlink.operator.OperatorFile.LogConfig;

/** Reader of the block {@code log}: the format and the level of the log. */
final class LogPart {
  private LogPart() {}

  /**
   * Reads the block.
   *
   * @return null if the block is absent
   */
  static LogConfig read(Section section) {
    if (section == null) {
      return null;
    }
    LogConfig log =
        new LogConfig(
            section.choice("form", Form.TEXT, Form.class),
            section.choice("level", Level.INFO, Level.class));
    section.reportUnknown();
    return log;
  }
}
