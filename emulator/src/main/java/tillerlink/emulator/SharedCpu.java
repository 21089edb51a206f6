package tillerlink.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The cores of an engine under processor sharing: each thread gets the same rate. Progress is
 * counted in the core-time that one thread has got so far, so that a change of rate touches nothing
 * else. When memory is exceeded all run slower, as if pages were swapped out.
 */
final class SharedCpu {
  /** A running piece of work. */
  static final class Load {
    final Object owner;
    final int threads;
    final double memory;
    final double work;
    private double endsAt;
    private boolean ended;

    Load(Object owner, int threads, double memory, double work) {
      this.owner = owner;
      this.threads = threads;
      this.memory = memory;
      this.work = work;
    }
  }

  private static final double EPSILON = 1e-6;
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

  /** Core-time used so far. */
  private double coreTimeUsed;

  SharedCpu(int cores, double memoryLimit) {
    this.cores = cores;
    this.memoryLimit = memoryLimit;
  }

  /** The core-time that a thread gets per unit of time. */
  private double rate() {
    if (threads == 0) {
      return 0;
    }
    double swapFactor = memory > memoryLimit ? Math.pow(memoryLimit / memory, SWAP_EXPONENT) : 1;
    return Math.min(1, cores * warmth / threads) * swapFactor / slowness;
  }

  /** Accounts for the time up to now; to be called before every change. */
  void advance(long now) {
    double gained = rate() * (now - advancedTo);
    coreTimePerThread += gained;
    coreTimeUsed += gained * threads;
    advancedTo = now;
  }

  void add(Load load) {
    load.endsAt = coreTimePerThread + load.work / load.threads;
    loads.add(load);
    threads += load.threads;
    memory += load.memory;
    running++;
  }

  /** Removes a load before its end. */
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

  /** Removes and returns the loads that have ended by now, in the order of their ends. */
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

  /** When the next load ends if nothing changes, rounded up; {@code Long.MAX_VALUE} if none. */
  long nextEnd() {
    dropEnded();
    double rate = rate();
    if (loads.isEmpty() || rate <= 0) {
      return Long.MAX_VALUE;
    }
    return advancedTo
        + (long) Math.ceil(Math.max(0, loads.peek().endsAt - coreTimePerThread) / rate - EPSILON);
  }

  double shareDone(Load load) {
    double left = Math.max(0, load.endsAt - coreTimePerThread) * load.threads;
    return Math.min(1, Math.max(0, 1 - left / load.work));
  }

  double megabytesMissing() {
    return Math.max(0, memory - memoryLimit);
  }

  void warmth(double share) {
    warmth = share;
  }

  void slowness(double factor) {
    slowness = factor;
  }

  int running() {
    return running;
  }

  int threads() {
    return threads;
  }

  double coreTimeUsed() {
    return coreTimeUsed;
  }

  /** Removes all loads. */
  void clear() {
    loads.forEach(load -> load.ended = true);
    loads.clear();
    threads = 0;
    memory = 0;
    running = 0;
  }
}
