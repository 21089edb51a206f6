package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The events of a scenario, one per line, for comparison with a stored timeline. With {@code
 * -Dtillerlink.keep=true} a timeline that differs is stored instead of failing the test.
 */
final class Timeline {
  private final ClusterFixture cluster;
  private final StringBuilder lines = new StringBuilder();

  Timeline(ClusterFixture cluster) {
    this.cluster = cluster;
  }

  void add(String event) {
    lines.append(String.format("%8s  %s%n", cluster.time(), event));
  }

  void assertMatchesStored(String name) throws IOException {
    assertEquals("[]", cluster.audit.violations().toString());
    String stored = readStored(name);
    if (!stored.equals(lines.toString()) && Boolean.getBoolean("tillerlink.keep")) {
      Files.writeString(Path.of("src/test/resources/timelines", name + ".txt"), lines.toString());
      return;
    }
    assertEquals(stored, lines.toString());
  }

  private static String readStored(String name) throws IOException {
    try (InputStream in = Timeline.class.getResourceAsStream("/timelines/" + name + ".txt")) {
      return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
