package tillerlink.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Cores shared by what runs on them, each thread getting the same: work is reckoned in what one
 * thread has got so far, so that a change of rate touches nothing but the rate. Beyond the memory
 * all run slower, for pages go to disk.
 */
final class Cores {
  /** Something that runs. */
  static final class Load {
    final Object what;
    final int threads;
    final double memory;
    final double work;
    private double endsAt;
    private boolean over;

    Load(Object what, int threads, double memory, double work) {
      this.what = what;
      this.threads = threads;
      this.memory = memory;
      this.work = work;
    }
  }

  private static final double NEXT_TO_NOTHING = 1e-6;
  private static final double SPILL_POWER = 2;

  private final int cores;
  private final double memoryMost;
  private final PriorityQueue<Load> loads =
      new PriorityQueue<>(Comparator.comparingDouble(load -> load.endsAt));
  private double warmth = 1;
  private double slowness = 1;
  private double got;
  private long at;
  private int threads;
  private double memory;
  private int running;

  /** Core-time given out so far. */
  private double spent;

  Cores(int cores, double memoryMost) {
    this.cores = cores;
    this.memoryMost = memoryMost;
  }

  /** What a thread gets of a moment. */
  private double rate() {
    if (threads == 0) {
      return 0;
    }
    double spill = memory > memoryMost ? Math.pow(memoryMost / memory, SPILL_POWER) : 1;
    return Math.min(1, cores * warmth / threads) * spill / slowness;
  }

  /** Reckons up to that moment; every change is made after this. */
  void advance(long now) {
    double more = rate() * (now - at);
    got += more;
    spent += more * threads;
    at = now;
  }

  void add(Load load) {
    load.endsAt = got + load.work / load.threads;
    loads.add(load);
    threads += load.threads;
    memory += load.memory;
    running++;
  }

  /** Takes one out before its end. */
  void remove(Load load) {
    if (!load.over) {
      leave(load);
    }
  }

  private void leave(Load load) {
    load.over = true;
    threads -= load.threads;
    memory -= load.memory;
    running--;
    trim();
  }

  private void trim() {
    while (!loads.isEmpty() && loads.peek().over) {
      loads.poll();
    }
  }

  /** Those that have ended by now, in the order of their ends. */
  List<Load> ended() {
    List<Load> ended = new ArrayList<>(1);
    trim();
    while (!loads.isEmpty() && loads.peek().endsAt <= got + NEXT_TO_NOTHING) {
      Load load = loads.poll();
      ended.add(load);
      leave(load);
    }
    return ended;
  }

  /** When the next ends if nothing changes, rounded up; the longest time if nothing runs. */
  long nextEnd() {
    trim();
    double rate = rate();
    if (loads.isEmpty() || rate <= 0) {
      return Long.MAX_VALUE;
    }
    return at + (long) Math.ceil(Math.max(0, loads.peek().endsAt - got) / rate - NEXT_TO_NOTHING);
  }

  double shareDone(Load load) {
    double left = Math.max(0, load.endsAt - got) * load.threads;
    return Math.min(1, Math.max(0, 1 - left / load.work));
  }

  double megabytesMissing() {
    return Math.max(0, memory - memoryMost);
  }

  void warmth(double share) {
    warmth = share;
  }

  void slowness(double times) {
    slowness = times;
  }

  int running() {
    return running;
  }

  int threads() {
    return threads;
  }

  double spent() {
    return spent;
  }

  /** Everything that runs is gone. */
  void clear() {
    loads.forEach(load -> load.over = true);
    loads.clear();
    threads = 0;
    memory = 0;
    running = 0;
  }
}
