package tillerlink.faultinjection.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A gateway in its own process, which can be stopped, killed and restarted, also with its disk lost
 * or replaced by an older copy.
 */
public final class GatewayProcess {
  /** The exit code of a process in which an invariant was violated. */
  private static final int INVARIANT_VIOLATED = 70;

  /** Texts in the log of a gateway that report a violated invariant or a crash. */
  private static final List<String> FAILURE_MARKERS =
      List.of("INVARIANT", "invariant broken", "Exception in thread");

  private final GatewaySpec spec;
  private final ConfigurationFiles files;
  private final String classPath;
  private final ControlledProcess process;

  /**
   * Creates a gateway without starting its process.
   *
   * @param classPath the class path of the gateway's program
   */
  public GatewayProcess(GatewaySpec spec, String classPath) {
    this.spec = spec;
    this.classPath = classPath;
    process = new ControlledProcess(spec.name());
    files = new ConfigurationFiles(spec);
  }

  /** Returns the name of the gateway. */
  public String name() {
    return spec.name();
  }

  public GatewaySpec spec() {
    return spec;
  }

  /** Starts the process with its present disk, without waiting until the gateway is ready. */
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

  /** Returns the process of the gateway. */
  public ControlledProcess process() {
    return process;
  }

  /** Returns whether the process exists, stopped or not. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns whether the process exists and is not stopped. */
  public boolean isRunning() {
    return process.isRunning();
  }

  /** Suspends the process with SIGSTOP. */
  public void stop() throws IOException {
    process.stop();
  }

  /** Resumes the process with SIGCONT. */
  public void resume() throws IOException {
    process.resume();
  }

  /** Sends SIGKILL, which also ends a stopped process, and waits until it has ended. */
  public void kill() {
    process.kill();
  }

  /** Sends SIGTERM, on which the gateway leaves the fleet, and waits until it has ended. */
  public void terminate() throws IOException {
    process.terminate();
  }

  /**
   * Deletes the disk of the gateway.
   *
   * @throws IOException if the process is alive
   */
  public synchronized void loseDisk() throws IOException {
    requireNotAlive();
    delete(files.store());
  }

  /**
   * Copies the present disk of the gateway, as a backup does.
   *
   * @throws IOException if the process is alive
   */
  public synchronized void copyDisk() throws IOException {
    requireNotAlive();
    delete(spec.folder().resolve("copy"));
    copy(files.store(), spec.folder().resolve("copy"));
  }

  /**
   * Replaces the disk of the gateway by its copy.
   *
   * @return whether there was a copy
   * @throws IOException if the process is alive
   */
  public synchronized boolean restoreDisk() throws IOException {
    requireNotAlive();
    if (!Files.isDirectory(spec.folder().resolve("copy"))) {
      return false;
    }
    delete(files.store());
    copy(spec.folder().resolve("copy"), files.store());
    return true;
  }

  private void requireNotAlive() throws IOException {
    if (isAlive()) {
      throw new IOException("cannot change the disk of " + spec.name() + ": its process is alive");
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

  /** Returns the log file of the gateway. */
  public Path log() {
    return spec.folder().resolve("log.txt");
  }

  /** Returns the violations that the process reports by its log and its exit code. */
  public synchronized List<String> violations() throws IOException {
    List<String> found = new ArrayList<>(process.terminationFailures());
    if (process.exitValue() == INVARIANT_VIOLATED) {
      found.add(spec.name() + " ended with exit code " + INVARIANT_VIOLATED);
    }
    if (Files.exists(log())) {
      for (String line : Files.readString(log()).split("\n", -1)) {
        if (FAILURE_MARKERS.stream().anyMatch(line::contains)) {
          found.add(spec.name() + " logged: " + line.strip());
        }
      }
    }
    return found;
  }
}
