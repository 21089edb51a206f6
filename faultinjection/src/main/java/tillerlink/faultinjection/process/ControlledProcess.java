package tillerlink.faultinjection.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that can be stopped, continued, terminated, killed and restarted. */
public final class ControlledProcess {
  /** The exit code of a process that was never started or has not ended. */
  public static final int NONE = -1;

  private static final long END_TIMEOUT_S = 10;

  private final String name;
  private final List<String> terminationFailures = new ArrayList<>();
  private Process process;
  private boolean stopped;

  /**
   * Creates a process without starting it.
   *
   * @param name the name of the process in errors
   */
  public ControlledProcess(String name) {
    this.name = name;
  }

  /** Starts the process. */
  public synchronized void start(ProcessBuilder builder) throws IOException {
    stopped = false;
    process = ChildProcesses.add(builder.start());
  }

  /** Returns whether the process exists, stopped or not. */
  public synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns whether the process exists and is not stopped. */
  public synchronized boolean isRunning() {
    return isAlive() && !stopped;
  }

  /** Suspends the process with SIGSTOP. */
  public synchronized void stop() throws IOException {
    signal("STOP");
    stopped = true;
  }

  /** Resumes the process with SIGCONT. */
  public synchronized void resume() throws IOException {
    signal("CONT");
    stopped = false;
  }

  /**
   * Sends a signal.
   *
   * @param signal the name of the signal without SIG
   * @throws IOException if the process does not exist or the signal cannot be sent
   */
  public synchronized void signal(String signal) throws IOException {
    if (!isAlive()) {
      throw new IOException("cannot send SIG" + signal + ": " + name + " is not alive");
    }
    try {
      Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
      if (kill.waitFor() != 0 && process.isAlive()) {
        throw new IOException("cannot send SIG" + signal + " to " + name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends SIGKILL, which also ends a stopped process, and waits until it has ended. */
  public synchronized void kill() {
    if (isAlive()) {
      process.destroyForcibly();
      awaitEnd();
    }
  }

  /**
   * Sends SIGTERM and waits until the process has ended. A stopped process is resumed first. A
   * process that does not end within {@value #END_TIMEOUT_S} s is killed and reported by {@link
   * #terminationFailures}.
   */
  public synchronized void terminate() throws IOException {
    if (isAlive()) {
      if (stopped) {
        resume();
      }
      process.destroy();
      if (!awaitEnd()) {
        process.destroyForcibly();
        awaitEnd();
        terminationFailures.add(name + " did not end on SIGTERM within " + END_TIMEOUT_S + " s");
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

  /** Returns the exit code, or {@link #NONE}. */
  public synchronized int exitValue() {
    return process == null || process.isAlive() ? NONE : process.exitValue();
  }

  /** Returns a line for each SIGTERM on which the process did not end in time. */
  public synchronized List<String> terminationFailures() {
    return List.copyOf(terminationFailures);
  }
}
