package tillerlink.faultinjection.process;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The processes that this one has started. All are ended with it, also stopped ones; no other
 * process is ever ended.
 */
final class ChildProcesses {
  private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly), "end-own"));
  }

  private ChildProcesses() {}

  static Process add(Process process) {
    STARTED.add(process);
    CompletableFuture<Void> unused = process.onExit().thenAccept(STARTED::remove);
    return process;
  }
}
