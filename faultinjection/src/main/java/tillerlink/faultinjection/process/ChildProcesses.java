package tillerlink.faultinjection.process;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The child processes of this one. All of them, including stopped ones, are killed when this one
 * exits, so that none is left behind; no other process is ever killed.
 */
final class ChildProcesses {
  private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly), "end-own"));
  }

  private ChildProcesses() {}

  /** Registers a child process, and returns it. */
  static Process add(Process process) {
    STARTED.add(process);
    CompletableFuture<Void> unused = process.onExit().thenAccept(STARTED::remove);
    return process;
  }
}
