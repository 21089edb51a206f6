package tillerlink.faultinjection.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import tillerlink.faultinjection.client.Members;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.harness.Timeline;

/** A story as it is told: what is done to a rig, and what its gateways then say. */
final class Told {
  private static final long PATIENCE_MS = 30_000;
  final Timeline timeline = new Timeline(PATIENCE_MS);
  private final ProcessCluster rig;

  Told(ProcessCluster rig) {
    this.rig = rig;
  }

  /** Waits until every gateway says that it reaches every other. */
  void together() {
    timeline.until(
        "all say that they reach each other",
        () -> {
          for (String name : rig.names()) {
            for (String other : rig.names()) {
              if (!other.equals(name) && !"reachable".equals(reach(name, other))) {
                return false;
              }
            }
          }
          return true;
        });
  }

  /** Waits until one says of another that it stands in one of these ways. */
  void says(String name, String other, String... ways) {
    timeline.until(
        name + " says that " + other + " is " + String.join(" or ", ways),
        () -> List.of(ways).contains(reach(name, other)));
  }

  /**
   * For so long one never says of another that it is gone. A busy machine may make it suspect
   * somebody for a moment, which is no fault; given up is one.
   */
  void neverGivesUp(long ms, String name, String other) throws IOException {
    String heard = "";
    for (long until = System.nanoTime() + ms * 1_000_000; System.nanoTime() < until; pause(50)) {
      String way = reach(name, other);
      heard = List.of("gone", "left", "unknown").contains(way) ? ", BUT ONCE " + way : heard;
    }
    timeline.note(name + " never gives " + other + " up" + heard);
  }

  String reach(String name, String other) throws IOException {
    return Members.of(rig.client(name)).getOrDefault(other, "unknown");
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Compares with the story that is kept, and sees that nothing broke inside. */
  void kept(String name) throws IOException {
    kept(name, timeline.toString());
    assertEquals(List.of(), rig.violations());
  }

  /** Compares with the story that is kept; -Dkeep=FOLDER writes it anew. */
  static void kept(String name, String told) throws IOException {
    String keep = System.getProperty("keep");
    if (keep != null) {
      Files.writeString(Path.of(keep, name + ".txt"), told);
    }
    try (InputStream in = Told.class.getResourceAsStream("/stories/" + name + ".txt")) {
      assertEquals(
          in == null ? "(no kept story)" : new String(in.readAllBytes(), StandardCharsets.UTF_8),
          told);
    }
  }
}
