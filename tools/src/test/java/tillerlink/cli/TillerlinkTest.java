package tillerlink.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The exit codes of commands: 0 success, 1 a failure, 2 wrong usage. */
class TillerlinkTest {
  @TempDir private Path folder;

  private String file(String name) {
    return folder.resolve(name).toString();
  }

  @Test
  void generatesChecksAndReplaysATrace() throws IOException {
    assertEquals(
        0,
        Tillerlink.execute(
            "trace",
            "make",
            "--layout",
            "azure-2019",
            "--rows",
            "800",
            "--bad",
            "0.02",
            "--out",
            file("t.csv.gz")));
    assertEquals(
        0, Tillerlink.execute("trace", "check", file("t.csv.gz"), "--layout", "azure-2019"));
    assertEquals(
        1,
        Tillerlink.execute(
            "trace", "check", file("t.csv.gz"), "--layout", "azure-2019", "--bad-most", "0"));
    assertEquals(
        0,
        Tillerlink.execute(
            "replay",
            file("t.csv.gz"),
            "--layout",
            "azure-2019",
            "--report",
            file("r.json"),
            "--html",
            file("r.html"),
            "--quiet",
            "--scale",
            "both",
            "--sort",
            folder.toString()));
    assertTrue(Files.readString(folder.resolve("r.json")).contains("\"adds_up\" : true"));
    assertTrue(Files.readString(folder.resolve("r.html")).contains("<svg"));
  }

  @Test
  void wrongUsageAndFailuresHaveDifferentExitCodes() throws IOException {
    assertEquals(2, Tillerlink.execute());
    assertEquals(2, Tillerlink.execute("nothing"));
    assertEquals(2, Tillerlink.execute("replay", "x"));
    assertEquals(2, Tillerlink.execute("replay", "x", "--layout", "azure-2019", "--load", "-1"));
    assertEquals(1, Tillerlink.execute("replay", file("missing"), "--layout", "azure-2019"));
    assertEquals(0, Tillerlink.execute("replay", "--help"));
    Files.writeString(folder.resolve("bad.hcl"), "x = 1\n");
    assertEquals(1, Tillerlink.execute("check", file("bad.hcl")));
    Files.writeString(folder.resolve("good.hcl"), "log {\n  form = \"json\"\n}\n");
    assertEquals(0, Tillerlink.execute("check", file("good.hcl")));
    assertEquals(1, Tillerlink.execute("check", file("missing.hcl")));
  }
}
