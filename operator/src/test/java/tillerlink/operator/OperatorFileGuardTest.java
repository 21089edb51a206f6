package tillerlink.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tillerlink.fleet.EngineKind;
import tillerlink.fleet.EngineSpec;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;
import tillerlink.model.Effect;
import tillerlink.net.http2.Http2TransportFactory;
import tillerlink.trace.Layout;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.WorkloadScaling;

/**
 * Pins the format of the operator's file. A stored copy of the example is read, and every value of
 * every block is compared, so that a changed key, constant or unit is detected.
 */
class OperatorFileGuardTest {
  private OperatorFile file;

  @BeforeEach
  void read() throws Exception {
    file =
        OperatorFile.read(
            Path.of(OperatorFileGuardTest.class.getResource("/guards/operator.hcl").toURI()));
  }

  @Test
  void readsLogHttp2StoreAndReplay() {
    assertEquals(
        new OperatorFile.LogConfig(OperatorFile.Form.TEXT, OperatorFile.Level.INFO), file.log());
    assertEquals(new Http2TransportFactory(false, Set.of("big-16"), 256), file.http2());
    assertEquals(
        new OperatorFile.StoreConfig("/var/lib/tillerlink", 864_000_000, 16_777_216), file.store());
    assertEquals(
        new OperatorFile.ReplayDefaults(0.6, WorkloadScaling.Scale.TIME, 36_000_000, 0.4, 0.1, 1),
        file.replay());
  }

  @Test
  void readsMembersChannelsAndStatements() {
    assertEquals(
        new MembersConfig(
            "newsroom",
            "north",
            "10.1.0.7:7400",
            List.of("10.1.0.7:7400", "10.2.0.7:7400"),
            "/etc/tillerlink/fleet.secret",
            Map.of("south-1", "10.9.0.2:7400"),
            5000),
        file.members());
    assertEquals(
        new ChannelsConfig(
            List.of("north", "south", "studio"),
            List.of("north-1", "south-1", "studio-1"),
            3_000_000,
            600_000,
            67_108_864,
            1_073_741_824,
            64),
        file.channels());
    assertEquals(
        new StatementsConfig(List.of("north-1", "north-2", "south-1"), 30_000, 0.01, false),
        file.statements());
  }

  @Test
  void readsLayouts() {
    assertEquals(
        List.of(
            new Layout(
                "batch-log",
                ';',
                true,
                List.of(),
                10,
                "begin",
                "finish",
                "cpu",
                0.01,
                "mem",
                "job",
                null,
                "team",
                null,
                null,
                List.of(new Layout.Test("state", List.of("done"), false, Double.NaN, Double.NaN)),
                Double.MAX_VALUE),
            new Layout(
                "events",
                ',',
                false,
                List.of("at", "job", "task", "event", "cpu"),
                0.01,
                "at",
                null,
                "cpu",
                1,
                null,
                "job",
                "task",
                null,
                null,
                new Layout.Pairing(
                    "event", List.of("START"), List.of("FINISH"), List.of("KILL", "EVICT")),
                List.of(),
                Double.MAX_VALUE)),
        file.layouts());
  }

  @Test
  void readsFleet() {
    assertEquals(
        new Fleet(
            3,
            4096,
            List.of(
                new EngineKind("small-8", 8, 20_000, false),
                new EngineKind("big-16", 16, 40_000, false)),
            List.of("east", "west"),
            List.of(
                new EngineSpec("a1", 0, 0),
                new EngineSpec("a2", 0, 0),
                new EngineSpec("a3", 0, 0),
                new EngineSpec("a4", 0, 0),
                new EngineSpec("a5", 0, 0),
                new EngineSpec("b1", 0, 1),
                new EngineSpec("b2", 0, 1),
                new EngineSpec("b3", 0, 1),
                new EngineSpec("b4", 0, 1),
                new EngineSpec("c1", 1, 1),
                new EngineSpec("c2", 1, 1),
                new EngineSpec("c3", 1, 1)),
            15_000,
            0.25,
            100_000,
            3.5,
            20_000,
            8000,
            4,
            0.15,
            120_000,
            4,
            8000),
        file.fleet());
  }

  @Test
  void readsRequestClasses() {
    assertEquals(
        List.of(
            new RequestClassSpec(
                "intake",
                Effect.RECEIPTED,
                2,
                40_000,
                180_000,
                4,
                2,
                List.of(),
                180_000,
                5000,
                List.of(
                    new Layout.Test(
                        "team", List.of("etl", "import"), false, Double.NaN, Double.NaN))),
            new RequestClassSpec(
                "sheet",
                Effect.PURE,
                3,
                25_000,
                240_000,
                3,
                1.2,
                List.of("small-8"),
                0,
                6000,
                List.of(new Layout.Test("cpu", List.of(), false, 200, 1e300))),
            new RequestClassSpec(
                "look", Effect.PURE, 1, 9000, 45_000, 1, 0.25, List.of(), 0, 800, List.of())),
        file.requestClasses());
  }

  @Test
  void readsScheduledFaults() {
    assertEquals(
        List.of(
            new ScheduledFault(200_000, ScheduledFault.What.SLOW, "a2", 100_000, 4),
            new ScheduledFault(400_000, ScheduledFault.What.REPLACED, "b1", 30_000, 1)),
        file.troubles());
  }
}
