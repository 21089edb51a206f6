package tillerlink.faultinjection.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.process.Plan;

/** Guards the rig itself: a gateway alone carries requests to engines and ends in peace. */
class RequestStoryTest {
  @TempDir private Path folder;

  @Test
  void one() throws Exception {
    Audit audit = new Audit();
    try (ProcessCluster rig =
        new ProcessCluster(
            folder,
            1,
            new ProcessCluster.Shape(1, 1, 2, 1, Plan.Shared.NOTHING),
            System.getProperty("java.class.path"),
            (engine, command) -> audit.ran(engine, new String(command.statement())))) {
      rig.start();
      for (int i = 0; i < 20; i++) {
        String id = String.format("%016x", i);
        String statement = "UPDATE t SET x = " + i;
        audit.handedIn(id, statement, true);
        audit.answered(id, rig.client("n0").submit("book", id, statement, 3000).status());
      }
      rig.gateway("n0").leave();
      assertEquals(List.of(), rig.violations());
    }
    assertEquals(List.of(), audit.end());
    assertEquals(20, audit.requests());
  }
}
