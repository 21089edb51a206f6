package tillerlink.operator;

import tillerlink.operator.OperatorFile.Form;
import tillerlink.operator.OperatorFile.Level;
import tillerlink.operator.OperatorFile.LogConfig;

/** The block <code>log</code>. */
final class LogPart {
  private LogPart() {}

  static LogConfig read(Section section) {
    if (section == null) {
      return null;
    }
    LogConfig log =
        new LogConfig(
            section.choice("form", Form.TEXT, Form.class),
            section.choice("level", Level.INFO, Level.class));
    section.close();
    return log;
  }
}
