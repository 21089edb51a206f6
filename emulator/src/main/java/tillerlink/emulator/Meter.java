package tillerlink.emulator;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * What gateways cost of what a replay costs: time and memory handed out in their turns, on the
 * thread that plays.
 */
public final class Meter {
  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final long thread = Thread.currentThread().getId();
  private long nanos;
  private long bytes;
  private long startNanos;
  private long startBytes;

  void turnBegins() {
    startBytes = threads.getThreadAllocatedBytes(thread);
    startNanos = System.nanoTime();
  }

  void turnEnds() {
    nanos += System.nanoTime() - startNanos;
    bytes += threads.getThreadAllocatedBytes(thread) - startBytes;
  }

  public long nanos() {
    return nanos;
  }

  public long bytes() {
    return bytes;
  }

  public void reset() {
    nanos = 0;
    bytes = 0;
  }
}
