package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** What happened in a story, line by line, compared with what was kept. */
final class Timeline {
  private final ClusterFixture cluster;
  private final StringBuilder lines = new StringBuilder();

  Timeline(ClusterFixture cluster) {
    this.cluster = cluster;
  }

  void say(String words) {
    lines.append(String.format("%8s  %s%n", cluster.at(), words));
  }

  void isAsKept(String name) throws IOException {
    assertEquals("[]", cluster.audit.violations.toString());
    try (InputStream in = Timeline.class.getResourceAsStream("/timelines/" + name + ".txt")) {
      String kept = in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
      if (!kept.equals(lines.toString()) && Boolean.getBoolean("tillerlink.keep")) {
        java.nio.file.Files.writeString(
            java.nio.file.Path.of("src/test/resources/timelines", name + ".txt"), lines.toString());
        return;
      }
      assertEquals(kept, lines.toString());
    }
  }
}
