package tillerlink.trace;

import java.util.Arrays;

/**
 * Starts that wait for their ends, found by a hash of the task's name: open addressing over plain
 * arrays, and a ring in the order of arrival, from which the oldest gives way when all places are
 * taken. Nothing grows.
 */
final class Pairs {
  private static final int FREE = -1;
  private static final int PROBES_PER_PLACE = 2;

  private final int most;
  private final int mask;
  private final int[] table;
  private final long[] keys;
  private final long[] startedAt;
  private final double[] cores;
  private final double[] memory;
  private final long[] numbers;
  private final int[] kinds;
  private final boolean[] taken;

  /** Where the next start goes: the ring's oldest place. */
  private int next;

  private int open;

  Pairs(int most) {
    this.most = most;
    int places = Integer.highestOneBit(Math.max(2, most * PROBES_PER_PLACE) - 1) << 1;
    mask = places - 1;
    table = new int[places];
    Arrays.fill(table, FREE);
    keys = new long[most];
    startedAt = new long[most];
    cores = new double[most];
    memory = new double[most];
    numbers = new long[most];
    kinds = new int[most];
    taken = new boolean[most];
  }

  /** How many starts one that comes now would push out: 0 or 1. */
  int pushesOut() {
    return taken[next] ? 1 : 0;
  }

  /**
   * Keeps a start; one of the same name that still waits stays for no end and is replaced. True if
   * one was.
   */
  boolean open(long key, long start, double coresAsked, double memoryAsked, long number, int kind) {
    int before = find(key);
    boolean replaced = before != FREE;
    if (replaced) {
      remove(before);
    }
    if (taken[next]) {
      remove(next);
    }
    int place = next;
    next = (next + 1) % most;
    keys[place] = key;
    startedAt[place] = start;
    cores[place] = coresAsked;
    memory[place] = memoryAsked;
    numbers[place] = number;
    kinds[place] = kind;
    taken[place] = true;
    open++;
    int slot = (int) key & mask;
    while (table[slot] != FREE) {
      slot = slot + 1 & mask;
    }
    table[slot] = place;
    return replaced;
  }

  /**
   * Takes the start of that name out, as a task without its span, job and owner; null if none
   * waits.
   */
  Task close(long key, long end, long job, long owner) {
    int place = find(key);
    if (place == FREE) {
      return null;
    }
    remove(place);
    return new Task(
        startedAt[place],
        end - startedAt[place],
        cores[place],
        memory[place],
        job,
        owner,
        numbers[place],
        kinds[place],
        2);
  }

  int waiting() {
    return open;
  }

  private int find(long key) {
    for (int slot = (int) key & mask; table[slot] != FREE; slot = slot + 1 & mask) {
      if (keys[table[slot]] == key) {
        return table[slot];
      }
    }
    return FREE;
  }

  /** Those behind it in its run move up, so that no gap hides them. */
  private void remove(int place) {
    int gap = (int) keys[place] & mask;
    while (table[gap] != place) {
      gap = gap + 1 & mask;
    }
    taken[place] = false;
    open--;
    int slot = gap;
    while (true) {
      slot = slot + 1 & mask;
      if (table[slot] == FREE) {
        break;
      }
      int home = (int) keys[table[slot]] & mask;
      if ((slot - home & mask) >= (slot - gap & mask)) {
        table[gap] = table[slot];
        gap = slot;
      }
    }
    table[gap] = FREE;
  }
}
