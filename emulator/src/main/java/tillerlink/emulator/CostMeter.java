package tillerlink.emulator;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * Measures the share of gateways in the cost of a replay: time and allocated memory during their
 * event-loop iterations, on the thread that plays.
 */
public final class CostMeter {
  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final long thread = Thread.currentThread().getId();
  private long nanos;
  private long bytes;
  private long startNanos;
  private long startBytes;

  void iterationBegins() {
    startBytes = threads.getThreadAllocatedBytes(thread);
    startNanos = System.nanoTime();
  }

  void iterationEnds() {
    nanos += System.nanoTime() - startNanos;
    bytes += threads.getThreadAllocatedBytes(thread) - startBytes;
  }

  public long nanos() {
    return nanos;
  }

  public long bytes() {
    return bytes;
  }

  /** Starts again at zero. */
  public void reset() {
    nanos = 0;
    bytes = 0;
  }
}
