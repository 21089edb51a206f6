package tillerlink.faultinjection.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.LogLine;
import tillerlink.faultinjection.client.Channels;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.harness.ProcessIncarnations;
import tillerlink.faultinjection.process.GatewayProcess;
import tillerlink.faultinjection.process.Plan;

/** Logs of channels: three processes at three sites, each story on a channel of its own. */
class ChannelStoryTest {
  @TempDir private static Path folder;
  private static ProcessCluster rig;
  private static final ProcessIncarnations LIVES = new ProcessIncarnations();
  private Audit audit;
  private Told told;
  private String channel;

  @BeforeAll
  static void start() throws IOException {
    rig =
        new ProcessCluster(
            folder,
            2,
            new ProcessCluster.Shape(3, 3, 1, 1, Plan.Shared.CHANNELS),
            System.getProperty("java.class.path"),
            (engine, command) -> {});
    rig.start();
  }

  @AfterAll
  static void end() throws IOException {
    rig.close();
  }

  @BeforeEach
  void begin(TestInfo info) {
    channel = info.getTestMethod().orElseThrow().getName();
    audit = new Audit();
    told = new Told(rig);
    told.together();
  }

  /** One appends a cue of that text; its key is the text. */
  private void writes(String gateway, String text) {
    told.timeline.until(
        gateway + " takes '" + text + "'",
        () -> {
          String id =
              Channels.append(rig.client(gateway), channel, text, "cue", "cue of " + text, text, 0);
          if (id != null) {
            audit.taken(channel, gateway, LIVES.of(gateway), text, id);
          }
          return id != null;
        });
  }

  private List<LogLine> log(String gateway) throws IOException {
    List<LogLine> log = Channels.log(rig.client(gateway), channel, 0);
    audit.read(channel, gateway, log);
    return log;
  }

  private void stable(String gateway, int count) {
    told.timeline.until(
        gateway + " tells " + count + " entries as stable",
        () -> log(gateway).stream().filter(LogLine::stable).count() == count);
  }

  /** All have one log, nothing of it provisional, and every rule of the audit holds. */
  private void oneLog(int count) throws IOException {
    told.timeline.until(
        "all have one log of " + count + " entries, all stable",
        () -> {
          Set<List<String>> logs = new TreeSet<>((a, b) -> a.toString().compareTo(b.toString()));
          for (String name : rig.names()) {
            List<LogLine> log = log(name);
            logs.add(log.stream().map(LogLine::id).toList());
            if (log.size() != count || !log.stream().allMatch(LogLine::stable)) {
              return false;
            }
          }
          return logs.size() == 1;
        });
    for (String name : rig.names()) {
      audit.last(channel, name, log(name));
    }
    assertEquals(List.of(), audit.end());
  }

  @Test
  void bothSidesOfACutWriteOn() throws IOException {
    writes("n0", "first");
    oneLog(1);
    rig.part(List.of("n0", "n1"), List.of("n2"));
    told.timeline.note("n0 and n1 are parted from n2");
    writes("n0", "a");
    writes("n2", "x");
    writes("n1", "b");
    writes("n2", "y");
    told.timeline.until("n1 has 3 entries", () -> log("n1").size() == 3);
    told.timeline.until("n2 has 3 entries", () -> log("n2").size() == 3);
    stable("n2", 1);
    rig.heal();
    told.timeline.note("the partition is healed");
    oneLog(5);
    told.kept("channels-parted");
  }

  @Test
  void aDiskIsLost() throws IOException {
    GatewayProcess n1 = rig.gateway("n1");
    writes("n1", "before");
    writes("n0", "too");
    oneLog(2);
    n1.kill();
    told.timeline.note("n1 is killed, and its disk is lost");
    LIVES.diskLost("n1");
    audit.diskLost("n1");
    n1.loseDisk();
    writes("n0", "meanwhile");
    n1.start();
    rig.awaitHealthy("n1");
    told.timeline.note("n1 is started with an empty disk");
    writes("n1", "after");
    oneLog(4);
    told.kept("channels-disk-lost");
  }

  @Test
  void anOldCopyIsPutBack() throws IOException {
    GatewayProcess n1 = rig.gateway("n1");
    writes("n1", "in the copy");
    oneLog(1);
    n1.kill();
    n1.copyDisk();
    told.timeline.note("n1 is killed, and its disk copied");
    n1.start();
    rig.awaitHealthy("n1");
    writes("n1", "not in the copy");
    writes("n1", "neither");
    oneLog(3);
    n1.kill();
    LIVES.diskLost("n1");
    audit.diskLost("n1");
    n1.putBackCopy();
    n1.start();
    rig.awaitHealthy("n1");
    told.timeline.note("n1 is killed, and started with the copy");
    writes("n1", "after");
    oneLog(4);
    told.kept("channels-old-copy");
  }
}
