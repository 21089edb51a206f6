package tillerlink.faultinjection.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that can be stopped, continued, terminated, killed and restarted. */
public final class ControlledProcess {
  /** The exit value of a process that was never started or has not ended. */
  public static final int NONE = -1;

  private static final long END_TIMEOUT_S = 10;

  private final String name;
  private final List<String> complaints = new ArrayList<>();
  private Process process;
  private boolean stopped;

  /** A process of that name, which is not started. */
  public ControlledProcess(String name) {
    this.name = name;
  }

  /** Starts it. */
  public synchronized void start(ProcessBuilder builder) throws IOException {
    stopped = false;
    process = ChildProcesses.add(builder.start());
  }

  /** Whether it exists, stopped or not. */
  public synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Whether it exists and is not stopped. */
  public synchronized boolean isRunning() {
    return isAlive() && !stopped;
  }

  /** Sends SIGSTOP. */
  public synchronized void stop() throws IOException {
    signal("STOP");
    stopped = true;
  }

  /** Sends SIGCONT. */
  public synchronized void resume() throws IOException {
    signal("CONT");
    stopped = false;
  }

  /** Sends a signal by its name without SIG. */
  public synchronized void signal(String signal) throws IOException {
    if (!isAlive()) {
      throw new IOException(name + " is not there");
    }
    try {
      Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
      if (kill.waitFor() != 0 && process.isAlive()) {
        throw new IOException("no SIG" + signal + " to " + name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends SIGKILL and waits for the end, also of a stopped process. */
  public synchronized void kill() {
    if (isAlive()) {
      process.destroyForcibly();
      awaitEnd();
    }
  }

  /** Sends SIGTERM and waits for the end. */
  public synchronized void terminate() throws IOException {
    if (isAlive()) {
      if (stopped) {
        resume();
      }
      process.destroy();
      if (!awaitEnd()) {
        process.destroyForcibly();
        awaitEnd();
        complaints.add(name + " did not end on SIGTERM within " + END_TIMEOUT_S + " s");
      }
    }
  }

  private boolean awaitEnd() {
    try {
      return process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Its exit value, or {@link #NONE}. */
  public synchronized int exitValue() {
    return process == null || process.isAlive() ? NONE : process.exitValue();
  }

  /** Signals that it did not obey, a line each. */
  public synchronized List<String> complaints() {
    return List.copyOf(complaints);
  }
}
