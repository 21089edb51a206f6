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
import tillerlink.replay.Arrivals;
import tillerlink.replay.Job;
import tillerlink.replay.Played;
import tillerlink.replay.Run;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;
import tillerlink.trace.TraceGenerator;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.WorkloadScaling;

/**
 * What is said of a replay last, and the exit code, by what is wrong with it; played in virtual
 * time.
 */
class VerdictTest {
  @TempDir private Path folder;
  private Played calm;

  @BeforeEach
  void play() throws IOException {
    Path trace = folder.resolve("trace");
    try (TraceGenerator maker =
        new TraceGenerator(Layout.ALIBABA_2018, 1, 0.01, 20_000, Files.newOutputStream(trace))) {
      maker.make(200);
    }
    Job job =
        new Job(
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
    try (Arrivals arrivals = new Arrivals(job)) {
      calm = Run.play(job, arrivals, arrived -> {});
    }
  }

  /** As if it had been sent over sockets that late. */
  private Played sent(int tenthsLate) {
    Histogram lag = new Histogram(3);
    lag.recordValueWithCount(5, 10);
    lag.recordValueWithCount(tenthsLate, 10);
    return new Played(
        calm.job(),
        calm.arrivals(),
        calm.cluster(),
        calm.auditor(),
        calm.figures(),
        calm.start(),
        calm.lasted(),
        lag);
  }

  private static String lastLine(Played played) {
    StringWriter out = new StringWriter();
    Summary.print(played, new PrintWriter(out));
    return out.toString().strip().lines().reduce("", (before, line) -> line);
  }

  @Test
  void aLateLoadIsToldAndBreaksNothing() {
    Played late = sent(680);
    assertEquals(
        "no rule broke, and all is accounted for; the figure does not count: the load was sent"
            + " late, by 68.0 ms at the most, as the machine was busy",
        lastLine(late));
    assertFalse(late.sound());
    assertEquals(0, DemoCommand.exitCode(late));
    assertEquals("no rule broke, and all is accounted for", lastLine(sent(6)));
    assertEquals("no rule broke, and all is accounted for", lastLine(calm));
    assertTrue(sent(6).sound());
  }

  @Test
  void aBrokenRuleEndsItWithAFault() {
    calm.auditor().wrongResult(calm.start(), "q1");
    calm.figures().arrived(calm.start(), 0);
    for (int late : new int[] {6, 680}) {
      assertTrue(lastLine(sent(late)).startsWith("rule broken: "), lastLine(sent(late)));
      assertTrue(
          lastLine(sent(late)).contains("; submissions are not all accounted for"),
          lastLine(sent(late)));
      assertEquals(1, DemoCommand.exitCode(sent(late)));
    }
  }
}
