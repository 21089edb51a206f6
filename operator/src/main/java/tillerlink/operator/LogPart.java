package tillerlink.operator;

import tillerlink.operator.OperatorFile.Form;
import tillerlink.operator.OperatorFile.Level;
import tillerlink.operator.OperatorFile.Log;

/** The part <code>log</code>. */
final class LogPart {
  private LogPart() {}

  static Log read(Section section) {
    if (section == null) {
      return null;
    }
    Log log =
        new Log(
            section.choice("form", Form.TEXT, Form.class),
            section.choice("level", Level.INFO, Level.class));
    section.close();
    return log;
  }
}
