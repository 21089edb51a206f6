package tillerlink.trace;

import java.util.Arrays;

/**
 * A bounded join of start events with their end events, keyed by a hash of the task's name: a hash
 * table with open addressing over plain arrays, and a ring in the order of arrival, of which the
 * oldest entry is evicted when all places are taken.
 */
final class StartEndJoin {
  private static final int EMPTY = -1;
  private static final int TABLE_SLOTS_PER_ENTRY = 2;

  private final int capacity;
  private final int mask;
  private final int[] table;
  private final long[] keys;
  private final long[] startedAt;
  private final double[] cores;
  private final double[] memory;
  private final long[] numbers;
  private final int[] kinds;
  private final boolean[] occupied;

  /** Where the next start goes: the oldest place of the ring. */
  private int nextPlace;

  private int waiting;

  StartEndJoin(int capacity) {
    this.capacity = capacity;
    int slots = Integer.highestOneBit(Math.max(2, capacity * TABLE_SLOTS_PER_ENTRY) - 1) << 1;
    mask = slots - 1;
    table = new int[slots];
    Arrays.fill(table, EMPTY);
    keys = new long[capacity];
    startedAt = new long[capacity];
    cores = new double[capacity];
    memory = new double[capacity];
    numbers = new long[capacity];
    kinds = new int[capacity];
    occupied = new boolean[capacity];
  }

  /** How many starts the next one would evict: 0 or 1. */
  int evictions() {
    return occupied[nextPlace] ? 1 : 0;
  }

  /** Adds a start. It replaces one of the same name that still waits; true if there was one. */
  boolean open(long key, long start, double taskCores, double taskMemory, long number, int kind) {
    int before = find(key);
    boolean replaced = before != EMPTY;
    if (replaced) {
      remove(before);
    }
    if (occupied[nextPlace]) {
      remove(nextPlace);
    }
    int place = nextPlace;
    nextPlace = (nextPlace + 1) % capacity;
    keys[place] = key;
    startedAt[place] = start;
    cores[place] = taskCores;
    memory[place] = taskMemory;
    numbers[place] = number;
    kinds[place] = kind;
    occupied[place] = true;
    waiting++;
    int slot = (int) key & mask;
    while (table[slot] != EMPTY) {
      slot = (slot + 1) & mask;
    }
    table[slot] = place;
    return replaced;
  }

  /**
   * Removes the start of that name and returns the task that it and the end make; null if none
   * waits.
   */
  Task close(long key, long end, long job, long owner) {
    int place = find(key);
    if (place == EMPTY) {
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
    return waiting;
  }

  private int find(long key) {
    for (int slot = (int) key & mask; table[slot] != EMPTY; slot = (slot + 1) & mask) {
      if (keys[table[slot]] == key) {
        return table[slot];
      }
    }
    return EMPTY;
  }

  /** Removes an entry and moves up those behind it in the same run, so that no gap hides them. */
  private void remove(int place) {
    int gap = (int) keys[place] & mask;
    while (table[gap] != place) {
      gap = (gap + 1) & mask;
    }
    occupied[place] = false;
    waiting--;
    int slot = gap;
    while (true) {
      slot = (slot + 1) & mask;
      if (table[slot] == EMPTY) {
        break;
      }
      int home = (int) keys[table[slot]] & mask;
      if (((slot - home) & mask) >= ((slot - gap) & mask)) {
        table[gap] = table[slot];
        gap = slot;
      }
    }
    table[gap] = EMPTY;
  }
}
