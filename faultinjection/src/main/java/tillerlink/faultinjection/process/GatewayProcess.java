package tillerlink.faultinjection.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * One gateway as a process of its own, which can be stopped, killed, started again, and robbed of
 * its disk.
 */
public final class GatewayProcess {
  /** With this a process ends in which an invariant did not hold. */
  private static final int BROKEN = 70;

  private static final List<String> ILL =
      List.of("INVARIANT", "invariant broken", "Exception in thread");

  private final Plan plan;
  private final ConfigurationFiles papers;
  private final String classPath;
  private final ControlledProcess process;

  /**
   * @param classPath of the program
   */
  public GatewayProcess(Plan plan, String classPath) {
    this.plan = plan;
    this.classPath = classPath;
    process = new ControlledProcess(plan.name());
    papers = new ConfigurationFiles(plan);
  }

  public String name() {
    return plan.name();
  }

  public Plan plan() {
    return plan;
  }

  /** Starts it with the disk that is there; it is not ready yet. */
  public synchronized void start() throws IOException {
    Files.createDirectories(papers.store());
    List<String> line =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xms24m",
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:CICompilerCount=1",
                "-XX:-UsePerfData",
                "-Xshare:auto",
                "-Djava.net.preferIPv4Stack=true",
                "-Dtillerlink.invariants=true",
                "-cp",
                classPath,
                "tillerlink.cli.Tillerlink",
                "serve",
                "--operator",
                papers.operatorFile().toString()));
    ProcessBuilder builder = new ProcessBuilder(line);
    builder.environment().put("EDGE_CONFIG", papers.configuration().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    process.start(builder);
  }

  /** The process, to be signalled and ended. */
  public ControlledProcess process() {
    return process;
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Whether it is there and not stopped. */
  public boolean isRunning() {
    return process.isRunning();
  }

  /** SIGSTOP: from now on it does nothing. */
  public void stop() throws IOException {
    process.stop();
  }

  /** SIGCONT. */
  public void goOn() throws IOException {
    process.goOn();
  }

  /** SIGKILL, and its end; a stopped one ends as well. */
  public void kill() {
    process.kill();
  }

  /** SIGTERM, and its end: it says that it leaves. */
  public void leave() throws IOException {
    process.terminate();
  }

  /** Its disk is lost; it must not be there. */
  public synchronized void loseDisk() throws IOException {
    mustBeDown();
    delete(papers.store());
  }

  /** Copies its disk as it is now, as a back-up would; it must not be there. */
  public synchronized void copyDisk() throws IOException {
    mustBeDown();
    delete(plan.folder().resolve("copy"));
    copy(papers.store(), plan.folder().resolve("copy"));
  }

  /**
   * Puts the copy of before in the place of its disk; it must not be there. False if there is none.
   */
  public synchronized boolean putBackCopy() throws IOException {
    mustBeDown();
    if (!Files.isDirectory(plan.folder().resolve("copy"))) {
      return false;
    }
    delete(papers.store());
    copy(plan.folder().resolve("copy"), papers.store());
    return true;
  }

  private void mustBeDown() throws IOException {
    if (isAlive()) {
      throw new IOException(plan.name() + " is still there");
    }
  }

  private static void delete(Path folder) throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> all = Files.walk(folder)) {
        for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(one);
        }
      }
    }
  }

  private static void copy(Path from, Path to) throws IOException {
    try (Stream<Path> all = Files.walk(from)) {
      for (Path one : all.sorted().toList()) {
        Files.copy(one, to.resolve(from.relativize(one).toString()));
      }
    }
  }

  public Path log() {
    return plan.folder().resolve("log.txt");
  }

  /** What went wrong inside it, as its log and its end tell; empty if nothing did. */
  public synchronized List<String> violations() throws IOException {
    List<String> found = new ArrayList<>(process.complaints());
    if (process.exitValue() == BROKEN) {
      found.add(plan.name() + " ended with " + BROKEN);
    }
    if (Files.exists(log())) {
      for (String line : Files.readString(log()).split("\n")) {
        if (ILL.stream().anyMatch(line::contains)) {
          found.add(plan.name() + " says: " + line.strip());
        }
      }
    }
    return found;
  }
}
