package tillerlink.jmh;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.io.OutputStream;
import java.util.Locale;
import org.slf4j.Logger;

/**
 * Measures the cost of a log line with two key-value pairs as plain text and as JSON. The output is
 * discarded.
 */
public final class LogLines {
  private static final int LINES = 200_000;

  private LogLines() {}

  /** Prints the time for a line in both formats, in several rounds. */
  public static void main(String[] args) {
    for (int round = 0; round < 4; round++) {
      LoggerContext context = new LoggerContext();
      PatternLayoutEncoder text = new PatternLayoutEncoder();
      text.setPattern("%d{HH:mm:ss.SSS} %level %logger{0} - %msg %kvp%n");
      System.out.printf(Locale.ROOT, "text %.2f us a line%n", time(context, text));
      System.out.printf(Locale.ROOT, "JSON %.2f us a line%n", time(context, new JsonEncoder()));
    }
  }

  /** Returns the time for a line, in microseconds. */
  private static double time(LoggerContext context, Encoder<ILoggingEvent> encoder) {
    encoder.setContext(context);
    encoder.start();
    OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
    appender.setContext(context);
    appender.setEncoder(encoder);
    appender.setOutputStream(OutputStream.nullOutputStream());
    appender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.detachAndStopAllAppenders();
    root.addAppender(appender);
    Logger log = context.getLogger("tillerlink.net.state.Gateway");
    long startNanos = System.nanoTime();
    for (int i = 0; i < LINES; i++) {
      log.atInfo()
          .addKeyValue("engine_connections", i)
          .addKeyValue("endpoint_list_version", 7)
          .log("{} requests", i);
    }
    return (System.nanoTime() - startNanos) / 1e3 / LINES;
  }
}
