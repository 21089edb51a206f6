package tillerlink.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import tillerlink.model.AttemptOutcome;

/** Tests the exposition of the metrics and the rate limit of the event log. */
class TelemetryTest {
  private static final long SECOND = 10_000;

  @Test
  void everyCounterIsExposedWithHelpTypeAndReasons() {
    Metrics metrics = new Metrics();
    metrics.add(Counter.ATTEMPTS_ENDED, AttemptOutcome.NOT_SENT);
    metrics.add(Counter.ATTEMPTS_ENDED, AttemptOutcome.NOT_SENT);
    metrics.add(Counter.ATTEMPTS_ENDED, AttemptOutcome.FAILED);
    metrics.gauge("endpoint_list_version", "Number of the last event.", () -> 7);
    String text = metrics.exposition();
    assertTrue(text.contains("tillerlink_attempts_ended_total{reason=\"not_sent\"} 2\n"), text);
    assertTrue(text.contains("tillerlink_attempts_ended_total{reason=\"failed\"} 1\n"), text);
    assertTrue(text.contains("tillerlink_invariant_violations_total 0\n"), text);
    assertTrue(
        text.contains(
            "# TYPE tillerlink_endpoint_list_version gauge\ntillerlink_endpoint_list_version 7\n"),
        text);
    for (Counter counter : Counter.values()) {
      assertTrue(text.contains("# TYPE " + counter.exposedName + " counter\n"), counter::name);
    }
    assertEquals(3, metrics.total(Counter.ATTEMPTS_ENDED));
  }

  /**
   * Guards against a repeated event that fills the log: a topic may write a burst of 40 lines, then
   * five lines per second, and the suppressed lines are counted.
   */
  @Test
  void topicIsRateLimitedAndCountsSuppressedLines() {
    PrintStream originalErr = System.err;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      EventLog log = new EventLog(true);
      for (int i = 0; i < 1000; i++) {
        log.event(0, EventLog.Topic.ATTEMPT, "attempt ended", "id", i);
      }
      log.event(0, EventLog.Topic.ENGINE, "engine state changed", "engine", "e1");
      log.event(SECOND, EventLog.Topic.ATTEMPT, "attempt ended", "id", "later");
    } finally {
      System.setErr(originalErr);
    }
    String text = output.toString(StandardCharsets.UTF_8);
    assertEquals(42, text.lines().count(), text);
    assertTrue(text.contains("topic=engine engine=e1"), text);
    assertTrue(text.contains("id=later suppressed=960"), text);
  }

  @Test
  void silentTelemetryWritesNothing() {
    PrintStream originalErr = System.err;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      Telemetry.silent().log().event(0, EventLog.Topic.ENGINE, "engine state changed");
    } finally {
      System.setErr(originalErr);
    }
    assertFalse(output.toString(StandardCharsets.UTF_8).contains("engine"));
  }
}
