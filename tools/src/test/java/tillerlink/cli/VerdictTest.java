package tillerlink.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.fleet.Fleet;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.replay.ArrivalSource;
import tillerlink.replay.ReplayConfig;
import tillerlink.replay.ReplayResult;
import tillerlink.replay.VirtualTimeReplay;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;
import tillerlink.trace.TraceGenerator;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.WorkloadScaling;

/**
 * The last line of a replay's summary and its exit code, for valid, late and faulty replays in
 * virtual time. A load that was sent late makes the figures invalid, but is no fault of the
 * gateways.
 */
class VerdictTest {
  @TempDir private Path folder;
  private ReplayResult inTime;

  @BeforeEach
  void play() throws IOException {
    Path trace = folder.resolve("trace");
    try (TraceGenerator generator =
        new TraceGenerator(Layout.ALIBABA_2018, 1, 0.01, 20_000, Files.newOutputStream(trace))) {
      generator.make(200);
    }
    ReplayConfig config =
        new ReplayConfig(
            List.of(Shard.of(trace)),
            Layout.ALIBABA_2018,
            BuiltInRequestClasses.requestClasses(Layout.ALIBABA_2018),
            Fleet.builtIn(2),
            List.of(),
            600_000,
            null,
            0,
            0.5,
            WorkloadScaling.Scale.TIME,
            0,
            0.4,
            0.1,
            1,
            "module",
            DefaultDispatchPolicy::new);
    try (ArrivalSource arrivals = new ArrivalSource(config)) {
      inTime = VirtualTimeReplay.play(config, arrivals, arrived -> {});
    }
  }

  /**
   * Returns the same result, as if it had been sent over sockets with that lag.
   *
   * @param lagTicks the lag of half of the requests, in tenths of a millisecond
   */
  private ReplayResult sentWithLag(int lagTicks) {
    Histogram lag = new Histogram(3);
    lag.recordValueWithCount(5, 10);
    lag.recordValueWithCount(lagTicks, 10);
    return new ReplayResult(
        inTime.config(),
        inTime.arrivals(),
        inTime.cluster(),
        inTime.auditor(),
        inTime.metrics(),
        inTime.start(),
        inTime.lasted(),
        lag);
  }

  private static String lastLine(ReplayResult result) {
    StringWriter out = new StringWriter();
    Summary.print(result, new PrintWriter(out));
    return out.toString().strip().lines().reduce("", (before, line) -> line);
  }

  @Test
  void lateLoadIsReportedButIsNotAFault() {
    ReplayResult late = sentWithLag(680);
    assertEquals(
        "no rule broke, and all is accounted for; the figure does not count: the load was sent"
            + " late, by 68.0 ms at the most, as the machine was busy",
        lastLine(late));
    assertFalse(late.isValid());
    assertEquals(0, DemoCommand.exitCode(late));
    assertEquals("no rule broke, and all is accounted for", lastLine(sentWithLag(6)));
    assertEquals("no rule broke, and all is accounted for", lastLine(inTime));
    assertTrue(sentWithLag(6).isValid());
  }

  @Test
  void violatedRuleIsAFault() {
    inTime.auditor().onWrongResult(inTime.start(), "q1");
    inTime.metrics().arrived(inTime.start(), 0);
    for (int lag : new int[] {6, 680}) {
      assertTrue(
          lastLine(sentWithLag(lag)).startsWith("rule broken: "), lastLine(sentWithLag(lag)));
      assertTrue(
          lastLine(sentWithLag(lag)).contains("; submissions are not all accounted for"),
          lastLine(sentWithLag(lag)));
      assertEquals(1, DemoCommand.exitCode(sentWithLag(lag)));
    }
  }
}
