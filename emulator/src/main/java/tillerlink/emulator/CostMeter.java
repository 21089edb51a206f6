package tillerlink.emulator;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * A meter of the gateways' share in the cost of a replay. It measures the time and the memory
 * allocated during their event-loop iterations, on the thread that created it; the replay must run
 * on the same thread.
 */
public final class CostMeter {
  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final long threadId = Thread.currentThread().getId();
  private long nanos;
  private long bytes;
  private long startNanos;
  private long startBytes;

  /** Starts to measure an event-loop iteration. */
  void beginIteration() {
    startBytes = threads.getThreadAllocatedBytes(threadId);
    startNanos = System.nanoTime();
  }

  /** Adds the cost of the iteration that has ended. */
  void endIteration() {
    nanos += System.nanoTime() - startNanos;
    bytes += threads.getThreadAllocatedBytes(threadId) - startBytes;
  }

  /** Returns the time spent in event-loop iterations, in nanoseconds. */
  public long nanos() {
    return nanos;
  }

  /** Returns the memory allocated in event-loop iterations, in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Resets both sums to zero. */
  public void reset() {
    nanos = 0;
    bytes = 0;
  }
}
