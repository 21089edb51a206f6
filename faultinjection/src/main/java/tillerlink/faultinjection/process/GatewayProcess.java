package tillerlink.faultinjection.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * One gateway in its own process, which can be stopped, killed and restarted, also with a lost or
 * an old disk.
 */
public final class GatewayProcess {
  /** The exit value of a process in which an invariant was violated. */
  private static final int INVARIANT_VIOLATED = 70;

  private static final List<String> ILL =
      List.of("INVARIANT", "invariant broken", "Exception in thread");

  private final GatewaySpec spec;
  private final ConfigurationFiles files;
  private final String classPath;
  private final ControlledProcess process;

  /**
   * Describes a gateway; it is not started.
   *
   * @param classPath the class path of the program
   */
  public GatewayProcess(GatewaySpec spec, String classPath) {
    this.spec = spec;
    this.classPath = classPath;
    process = new ControlledProcess(spec.name());
    files = new ConfigurationFiles(spec);
  }

  /** Its name. */
  public String name() {
    return spec.name();
  }

  public GatewaySpec spec() {
    return spec;
  }

  /** Starts it with its present disk, without waiting until it is ready. */
  public synchronized void start() throws IOException {
    Files.createDirectories(files.store());
    List<String> command =
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
                files.operatorFile().toString()));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("EDGE_CONFIG", files.configuration().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    process.start(builder);
  }

  /** The process itself. */
  public ControlledProcess process() {
    return process;
  }

  /** Whether it exists, stopped or not. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Whether it exists and is not stopped. */
  public boolean isRunning() {
    return process.isRunning();
  }

  /** Sends SIGSTOP. */
  public void stop() throws IOException {
    process.stop();
  }

  /** Sends SIGCONT. */
  public void resume() throws IOException {
    process.resume();
  }

  /** Sends SIGKILL and waits for the end, also of a stopped process. */
  public void kill() {
    process.kill();
  }

  /** Sends SIGTERM, upon which it leaves the fleet, and waits for the end. */
  public void terminate() throws IOException {
    process.terminate();
  }

  /** Deletes its disk; it must not run. */
  public synchronized void loseDisk() throws IOException {
    requireDown();
    delete(files.store());
  }

  /** Copies its present disk, like a backup; it must not run. */
  public synchronized void copyDisk() throws IOException {
    requireDown();
    delete(spec.folder().resolve("copy"));
    copy(files.store(), spec.folder().resolve("copy"));
  }

  /** Restores the copy of its disk; it must not run. False if there is no copy. */
  public synchronized boolean restoreDisk() throws IOException {
    requireDown();
    if (!Files.isDirectory(spec.folder().resolve("copy"))) {
      return false;
    }
    delete(files.store());
    copy(spec.folder().resolve("copy"), files.store());
    return true;
  }

  private void requireDown() throws IOException {
    if (isAlive()) {
      throw new IOException(spec.name() + " is still there");
    }
  }

  private static void delete(Path folder) throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> all = Files.walk(folder)) {
        for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    }
  }

  private static void copy(Path from, Path to) throws IOException {
    try (Stream<Path> all = Files.walk(from)) {
      for (Path path : all.sorted().toList()) {
        Files.copy(path, to.resolve(from.relativize(path).toString()));
      }
    }
  }

  /** Its log file. */
  public Path log() {
    return spec.folder().resolve("log.txt");
  }

  /** Violations inside the process, by its log and its exit value. */
  public synchronized List<String> violations() throws IOException {
    List<String> found = new ArrayList<>(process.complaints());
    if (process.exitValue() == INVARIANT_VIOLATED) {
      found.add(spec.name() + " ended with " + INVARIANT_VIOLATED);
    }
    if (Files.exists(log())) {
      for (String line : Files.readString(log()).split("\n", -1)) {
        if (ILL.stream().anyMatch(line::contains)) {
          found.add(spec.name() + " says: " + line.strip());
        }
      }
    }
    return found;
  }
}
