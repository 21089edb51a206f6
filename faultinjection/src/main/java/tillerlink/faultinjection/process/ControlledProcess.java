package tillerlink.faultinjection.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of ours that can be stopped, continued, told to end, killed and started again. */
public final class ControlledProcess {
  /** The exit value of one that is not there, or has not ended. */
  public static final int NONE = -1;

  private static final long END_S = 10;

  private final String name;
  private final List<String> complaints = new ArrayList<>();
  private Process process;
  private boolean stopped;

  public ControlledProcess(String name) {
    this.name = name;
  }

  public synchronized void start(ProcessBuilder builder) throws IOException {
    stopped = false;
    process = Own.add(builder.start());
  }

  public synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Whether it is there and not stopped. */
  public synchronized boolean isRunning() {
    return isAlive() && !stopped;
  }

  /** SIGSTOP: from now on it does nothing. */
  public synchronized void stop() throws IOException {
    signal("STOP");
    stopped = true;
  }

  /** SIGCONT. */
  public synchronized void goOn() throws IOException {
    signal("CONT");
    stopped = false;
  }

  /** Any signal by its name, without SIG. */
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

  /** SIGKILL, and its end; a stopped one ends as well. */
  public synchronized void kill() {
    if (isAlive()) {
      process.destroyForcibly();
      awaitEnd();
    }
  }

  /** SIGTERM, and its end. */
  public synchronized void terminate() throws IOException {
    if (isAlive()) {
      if (stopped) {
        goOn();
      }
      process.destroy();
      if (!awaitEnd()) {
        process.destroyForcibly();
        awaitEnd();
        complaints.add(name + " did not end on SIGTERM within " + END_S + " s");
      }
    }
  }

  private boolean awaitEnd() {
    try {
      return process.waitFor(END_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** With what it ended. */
  public synchronized int exitValue() {
    return process == null || process.isAlive() ? NONE : process.exitValue();
  }

  /** What it did not do as it was told. */
  public synchronized List<String> complaints() {
    return List.copyOf(complaints);
  }
}
