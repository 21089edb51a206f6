package tillerlink.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A model of an engine's cores under processor sharing, in which all threads get the same rate.
 * Progress is counted as the core-time that a single thread has received so far, so that a change
 * of the rate requires no update of the loads. When the memory limit is exceeded, all loads run
 * slower, as if pages were swapped out.
 */
final class SharedCpu {
  /** Work that occupies threads and memory until it is done. */
  static final class Load {
    final Object owner;
    final int threads;
    final double memory;
    final double work;

    /** The core-time per thread at which it is done. */
    private double endsAt;

    private boolean ended;

    /**
     * Creates a load; {@link SharedCpu#add} starts it.
     *
     * @param owner the caller's object for the load
     * @param threads the number of threads that share the work
     * @param memory the memory that it occupies, in megabytes
     * @param work the core-time that it needs, in tenths of a millisecond
     */
    Load(Object owner, int threads, double memory, double work) {
      this.owner = owner;
      this.threads = threads;
      this.memory = memory;
      this.work = work;
    }
  }

  /** The tolerance for rounding errors in core-time, in tenths of a millisecond. */
  private static final double EPSILON = 1e-6;

  /** The rate falls with this power of the ratio of the memory limit to the memory in use. */
  private static final double SWAP_EXPONENT = 2;

  private final int cores;
  private final double memoryLimit;
  private final PriorityQueue<Load> loads =
      new PriorityQueue<>(Comparator.comparingDouble(load -> load.endsAt));
  private double warmth = 1;
  private double slowness = 1;
  private double coreTimePerThread;
  private long advancedTo;
  private int threads;
  private double memory;
  private int running;

  /** The core-time used by all threads so far, in tenths of a millisecond. */
  private double coreTimeUsed;

  /**
   * Creates idle cores.
   *
   * @param cores the number of cores
   * @param memoryLimit the memory that is available without swapping, in megabytes
   */
  SharedCpu(int cores, double memoryLimit) {
    this.cores = cores;
    this.memoryLimit = memoryLimit;
  }

  /** Returns the core-time that a thread receives per unit of time, from 0 to 1. */
  private double rate() {
    if (threads == 0) {
      return 0;
    }
    double swapFactor = memory > memoryLimit ? Math.pow(memoryLimit / memory, SWAP_EXPONENT) : 1;
    return Math.min(1, cores * warmth / threads) * swapFactor / slowness;
  }

  /**
   * Adds the progress up to now. Must be called before every change of the loads or the rate,
   * because it applies the current rate to the time since the last call.
   *
   * @param now the current time, in tenths of a millisecond
   */
  void advance(long now) {
    double gained = rate() * (now - advancedTo);
    coreTimePerThread += gained;
    coreTimeUsed += gained * threads;
    advancedTo = now;
  }

  /** Starts a load. */
  void add(Load load) {
    load.endsAt = coreTimePerThread + load.work / load.threads;
    loads.add(load);
    threads += load.threads;
    memory += load.memory;
    running++;
  }

  /** Removes a load before it is done; does nothing if it has ended already. */
  void remove(Load load) {
    if (!load.ended) {
      end(load);
    }
  }

  private void end(Load load) {
    load.ended = true;
    threads -= load.threads;
    memory -= load.memory;
    running--;
    dropEnded();
  }

  private void dropEnded() {
    while (!loads.isEmpty() && loads.peek().ended) {
      loads.poll();
    }
  }

  /** Removes and returns the loads that are done by now, in the order in which they ended. */
  List<Load> takeEnded() {
    List<Load> ended = new ArrayList<>(1);
    dropEnded();
    while (!loads.isEmpty() && loads.peek().endsAt <= coreTimePerThread + EPSILON) {
      Load load = loads.poll();
      ended.add(load);
      end(load);
    }
    return ended;
  }

  /**
   * Returns the time at which the next load ends if nothing changes until then.
   *
   * @return the time in tenths of a millisecond, rounded up, or {@code Long.MAX_VALUE} if no load
   *     runs
   */
  long nextEnd() {
    dropEnded();
    double rate = rate();
    if (loads.isEmpty() || rate <= 0) {
      return Long.MAX_VALUE;
    }
    return advancedTo
        + (long) Math.ceil(Math.max(0, loads.peek().endsAt - coreTimePerThread) / rate - EPSILON);
  }

  /** Returns the share of a load's work that is done, from 0 to 1. */
  double shareDone(Load load) {
    double remaining = Math.max(0, load.endsAt - coreTimePerThread) * load.threads;
    return Math.min(1, Math.max(0, 1 - remaining / load.work));
  }

  /** Returns by how many megabytes the memory in use exceeds the limit; 0 if it does not. */
  double megabytesMissing() {
    return Math.max(0, memory - memoryLimit);
  }

  /**
   * Sets the capacity of a cold engine.
   *
   * @param share the share of the cores that is available, 1 once the engine is warm
   */
  void setWarmth(double share) {
    warmth = share;
  }

  /** Sets the factor by which all loads run slower than normal, which is 1. */
  void setSlowness(double factor) {
    slowness = factor;
  }

  /** Returns the number of running loads. */
  int running() {
    return running;
  }

  /** Returns the number of threads of all running loads. */
  int threads() {
    return threads;
  }

  /** Returns the core-time used by all threads so far, in tenths of a millisecond. */
  double coreTimeUsed() {
    return coreTimeUsed;
  }

  /** Removes all loads without returning them. */
  void clear() {
    loads.forEach(load -> load.ended = true);
    loads.clear();
    threads = 0;
    memory = 0;
    running = 0;
  }
}
