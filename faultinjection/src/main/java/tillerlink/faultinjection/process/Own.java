package tillerlink.faultinjection.process;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The processes that this one has started: none outlives it, stopped ones neither. No other process
 * is ever ended.
 */
final class Own {
  private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly), "end-own"));
  }

  private Own() {}

  static Process add(Process process) {
    STARTED.add(process);
    process.onExit().thenAccept(STARTED::remove);
    return process;
  }
}
