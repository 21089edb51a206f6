package tillerlink.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.operator.OperatorFile;

/**
 * Configures the log from the operator's file. Without that configuration the log stays plain text.
 */
final class LogSetup {
  private LogSetup() {}

  /** Applies the configuration of the log; null changes nothing. */
  static void apply(OperatorFile.LogConfig log) {
    if (log == null || !(LoggerFactory.getILoggerFactory() instanceof LoggerContext context)) {
      return;
    }
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(log.level().name()));
    if (log.form() == OperatorFile.Form.JSON) {
      JsonEncoder encoder = new JsonEncoder();
      encoder.setContext(context);
      encoder.setWithContext(false);
      encoder.setWithSequenceNumber(false);
      encoder.setWithNanoseconds(false);
      encoder.setWithFormattedMessage(true);
      encoder.setWithMessage(false);
      encoder.setWithArguments(false);
      encoder.start();
      ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
      appender.setContext(context);
      appender.setTarget("System.err");
      appender.setEncoder(encoder);
      appender.start();
      root.detachAndStopAllAppenders();
      root.addAppender(appender);
    }
  }

  /**
   * Limits the logs of emulated gateways to errors, because hundreds of gateways would flood the
   * output of a replay.
   */
  static void muteGateways() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.getLogger("tillerlink.net.state").setLevel(Level.ERROR);
    }
  }
}
