package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests of the script .ci/run in a generated repository. Its Maven is a fake that records its
 * arguments and exits with a given code; the Surefire reports exist beforehand. Unless a test
 * changes them, p.OneTest#red fails and is listed as known to fail, all other tests pass, and so
 * does the run.
 */
class KnownRedTest {
  private static final String PLAIN_ARGUMENTS = "-B -ntp clean verify\n";
  private static final String IGNORING_FAILURES =
      "-B -ntp clean verify -Dmaven.test.failure.ignore=true\n";
  private static final String LISTED_ENTRY = "p.OneTest#red | the clock jumps | docs/clock.md\n";
  private static final String PASSED = "";
  private static final String FAILED = "<failure type='AssertionFailedError'>expected: 1</failure>";
  private static final String ERROR = "<error type='IllegalStateException'>broken</error>";
  private static final String SKIPPED = "<skipped/>";

  @TempDir Path root;

  private record Run(int exit, String output) {}

  @BeforeEach
  void createRepository() throws IOException {
    for (String script : new String[] {"run", "KnownRed.java"}) {
      write(".ci/" + script, Files.readString(Path.of("..", ".ci", script)));
    }
    write("bin/mvn", "#!/bin/sh\necho \"$@\" > called\nexit $(cat exit)\n");
    assertTrue(root.resolve("bin/mvn").toFile().setExecutable(true));
    write("exit", "0");
    write(
        "pom.xml",
        "<project><modules><module>one</module><module>two</module></modules></project>");
    write("one/src/test/java/p/OneTest.java", "");
    write("two/src/test/java/p/q/TwoTest.java", "");
    report(
        "one", "p.OneTest", test("p.OneTest", "green", PASSED) + test("p.OneTest", "red", FAILED));
    report(
        "two",
        "p.q.TwoTest",
        test("p.q.TwoTest", "green", PASSED) + test("p.q.TwoTest", "elsewhere", SKIPPED));
    write("KNOWN-RED.txt", LISTED_ENTRY);
  }

  @Test
  void withoutEntriesMavenRunsWithPlainArgumentsAndDecides() throws Exception {
    for (String exit : new String[] {"0", "1"}) {
      write("exit", exit);
      Files.delete(root.resolve("KNOWN-RED.txt"));
      assertEquals(new Run(Integer.parseInt(exit), ""), run());
      assertEquals(PLAIN_ARGUMENTS, read("called"));
      for (String empty : new String[] {"", "\n", "# test | cause | issue\n \t\r\n"}) {
        write("KNOWN-RED.txt", empty);
        assertEquals(new Run(Integer.parseInt(exit), ""), run());
        assertEquals(PLAIN_ARGUMENTS, read("called"));
      }
    }
  }

  @Test
  void listedTestThatFailsIsToleratedAndPrinted() throws Exception {
    write("KNOWN-RED.txt", "# test | cause | issue\n\n" + LISTED_ENTRY);
    Run run = run();
    assertEquals(0, run.exit(), run.output());
    assertTrue(run.output().contains(LISTED_ENTRY), run.output());
    assertEquals(IGNORING_FAILURES, read("called"));
  }

  @Test
  void listedTestThatEndsInAnErrorIsTolerated() throws Exception {
    report("one", "p.OneTest", test("p.OneTest", "red", ERROR));
    Run run = run();
    assertEquals(0, run.exit(), run.output());
  }

  @Test
  void threeEntriesAreAcceptedAndFourAreRejected() throws Exception {
    String four = "";
    String tests = "";
    for (int i = 1; i <= 4; i++) {
      four += "p.OneTest#red" + i + " | cause | issue\n";
      tests += test("p.OneTest", "red" + i, FAILED);
    }
    report("one", "p.OneTest", tests.replaceAll("<testcase [^>]*red4.*", ""));
    write("KNOWN-RED.txt", four.replaceAll("p.OneTest#red4.*\n", ""));
    Run run = run();
    assertEquals(0, run.exit(), run.output());
    report("one", "p.OneTest", tests);
    write("KNOWN-RED.txt", four);
    assertFails("4 entries; 3 at most");
  }

  @Test
  void listedTestThatPassesFailsTheRun() throws Exception {
    report("one", "p.OneTest", test("p.OneTest", "red", PASSED));
    assertFails("listed, but it passes: p.OneTest#red");
  }

  @Test
  void listedTestThatPassesOneOfTwoTimesFailsTheRun() throws Exception {
    report("one", "p.OneTest", test("p.OneTest", "red", FAILED) + test("p.OneTest", "red", PASSED));
    assertFails("listed, but it passes: p.OneTest#red");
  }

  @Test
  void skippedListedTestFailsTheRun() throws Exception {
    report("one", "p.OneTest", test("p.OneTest", "red", SKIPPED));
    assertFails("listed, but it was skipped: p.OneTest#red");
  }

  @Test
  void missingListedTestFailsTheRun() throws Exception {
    write("KNOWN-RED.txt", LISTED_ENTRY + "p.OneTest#gone | cause | issue\n");
    assertFails("listed, but there is no such test: p.OneTest#gone");
  }

  @Test
  void malformedOrDuplicateEntryFailsTheRun() throws Exception {
    String[] malformed = {
      "p.OneTest#red",
      "p.OneTest#red | cause",
      "p.OneTest#red | cause |",
      "p.OneTest#red | | issue",
      "p.OneTest | cause | issue",
      "p.OneTest# | cause | issue",
      "p.OneTest#red | cause | issue | more",
      "| cause | issue"
    };
    write("KNOWN-RED.txt", String.join("\n", malformed) + "\n");
    Run run = run();
    assertEquals(1, run.exit(), run.output());
    for (String entry : malformed) {
      assertTrue(
          run.output()
              .contains("not of the form package.Class#method | cause | issue: " + entry + "\n"),
          run.output());
    }
    write("KNOWN-RED.txt", "p.OneTest#red | cause\n");
    assertFails("not of the form package.Class#method | cause | issue: p.OneTest#red | cause\n");
    write("KNOWN-RED.txt", LISTED_ENTRY + LISTED_ENTRY);
    assertFails("listed twice: p.OneTest#red");
  }

  @Test
  void unlistedTestThatFailsOrEndsInAnErrorFailsTheRun() throws Exception {
    for (String outcome : new String[] {FAILED, ERROR}) {
      report("two", "p.q.TwoTest", test("p.q.TwoTest", "green", outcome));
      assertFails("fails and is not listed: p.q.TwoTest#green");
    }
  }

  @Test
  void errorOutsideOfAnyTestMethodFailsTheRun() throws Exception {
    report("one", "p.OneTest", test("p.OneTest", "red", FAILED) + test("p.OneTest", "", ERROR));
    assertFails("fails and is not listed: p.OneTest#\n");
  }

  @Test
  void failureOfMavenItselfFailsTheRun() throws Exception {
    // Surefire 3.5.4 exits like this when a test JVM crashes, although test failures are ignored.
    write("exit", "1");
    assertEquals(new Run(1, ""), run());
    assertEquals(IGNORING_FAILURES, read("called"));
  }

  @Test
  void testClassWithoutAReportFailsTheRun() throws Exception {
    Files.delete(root.resolve("two/target/surefire-reports/TEST-p.q.TwoTest.xml"));
    assertFails("no test of it ran: p.q.TwoTest");
    report("two", "p.q.TwoTest", "");
    assertFails("no test of it ran: p.q.TwoTest");
  }

  @Test
  void missingReportsFailTheRun() throws Exception {
    Files.delete(root.resolve("one/target/surefire-reports/TEST-p.OneTest.xml"));
    Files.delete(root.resolve("two/target/surefire-reports/TEST-p.q.TwoTest.xml"));
    assertFails("no tests ran");
  }

  @Test
  void unreadableReportFailsTheRun() throws Exception {
    write(
        "two/target/surefire-reports/TEST-p.q.TwoTest.xml",
        "<testsuite><testcase classname='p.q.TwoTest' name='gr");
    assertFails("can't be read: two/target/surefire-reports/TEST-p.q.TwoTest.xml");
  }

  /** Asserts that the run fails and prints a message. */
  private void assertFails(String message) throws Exception {
    Run run = run();
    assertEquals(1, run.exit(), run.output());
    assertTrue(run.output().contains(message), run.output());
  }

  private Run run() throws IOException, InterruptedException {
    ProcessBuilder script =
        new ProcessBuilder("bash", ".ci/run").directory(root.toFile()).redirectErrorStream(true);
    script.environment().put("JAVA_HOME", System.getProperty("java.home"));
    // Each run compiles the Java source of the script; these options halve the processor time.
    script.environment().put("JDK_JAVA_OPTIONS", "-XX:TieredStopAtLevel=1 -XX:+UseSerialGC");
    script
        .environment()
        .compute("PATH", (name, path) -> root.resolve("bin") + File.pathSeparator + path);
    Process process = script.start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Run(process.waitFor(), output);
  }

  /** Writes the Surefire report of a test class. */
  private void report(String module, String suite, String tests) throws IOException {
    write(
        module + "/target/surefire-reports/TEST-" + suite + ".xml",
        "<?xml version='1.0' encoding='UTF-8'?>\n<testsuite name='"
            + suite
            + "'>\n"
            + tests
            + "</testsuite>\n");
  }

  /** Returns the element of one test method in a Surefire report. */
  private static String test(String suite, String name, String outcome) {
    return "<testcase name='" + name + "' classname='" + suite + "'>" + outcome + "</testcase>\n";
  }

  private void write(String file, String text) throws IOException {
    Path path = root.resolve(file);
    Files.createDirectories(path.getParent());
    Files.writeString(path, text);
  }

  private String read(String file) throws IOException {
    return Files.readString(root.resolve(file));
  }
}
