package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Comparison with the kept traces in the test resources. */
final class KeptTraces {
  private KeptTraces() {}

  /**
   * Asserts that a printed trace equals a kept trace. With {@code -Dkeep=folder} the printed trace
   * is also written to that folder, so that it can be reviewed and stored as the new kept trace.
   *
   * @param traceName the file name of the kept trace without its extension
   * @param actual the printed trace
   */
  static void assertMatches(String traceName, String actual) {
    String folder = System.getProperty("keep");
    try (InputStream in = KeptTraces.class.getResourceAsStream("/traces/" + traceName + ".txt")) {
      String expected =
          in == null ? "(no kept trace)" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
      if (folder != null) {
        Files.writeString(Path.of(folder, traceName + ".txt"), actual);
      }
      assertEquals(expected, actual);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
