package tillerlink.trace;

import java.util.Arrays;

/**
 * A bounded join of start events with their end events, keyed by a hash of the task's name. It is a
 * hash table with open addressing over arrays, whose entries form a ring in the order of arrival.
 * If the ring is full, the oldest entry is evicted.
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
  private final int[] requestClasses;
  private final boolean[] occupied;

  /** The entry of the next start, which is the oldest entry of the ring. */
  private int nextEntry;

  private int waiting;

  /**
   * Creates an empty join.
   *
   * @param capacity the maximum number of starts that wait for their ends
   */
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
    requestClasses = new int[capacity];
    occupied = new boolean[capacity];
  }

  /** Returns the number of starts that the next start would evict: 0 or 1. */
  int evictions() {
    return occupied[nextEntry] ? 1 : 0;
  }

  /**
   * Adds a start. It replaces a waiting start with the same key.
   *
   * @param start tenths of a millisecond
   * @return whether a start was replaced
   */
  boolean addStart(
      long key, long start, double taskCores, double taskMemory, long number, int requestClass) {
    int previous = find(key);
    boolean replaced = previous != EMPTY;
    if (replaced) {
      remove(previous);
    }
    if (occupied[nextEntry]) {
      remove(nextEntry);
    }
    int entry = nextEntry;
    nextEntry = (nextEntry + 1) % capacity;
    keys[entry] = key;
    startedAt[entry] = start;
    cores[entry] = taskCores;
    memory[entry] = taskMemory;
    numbers[entry] = number;
    requestClasses[entry] = requestClass;
    occupied[entry] = true;
    waiting++;
    int slot = (int) key & mask;
    while (table[slot] != EMPTY) {
      slot = (slot + 1) & mask;
    }
    table[slot] = entry;
    return replaced;
  }

  /**
   * Removes the start with a key and returns the task from that start to an end.
   *
   * @param end tenths of a millisecond
   * @return null if no start with the key waits
   */
  Task matchEnd(long key, long end, long job, long owner) {
    int entry = find(key);
    if (entry == EMPTY) {
      return null;
    }
    remove(entry);
    return new Task(
        startedAt[entry],
        end - startedAt[entry],
        cores[entry],
        memory[entry],
        job,
        owner,
        numbers[entry],
        requestClasses[entry],
        2);
  }

  /** Returns the number of starts that wait for their ends. */
  int waiting() {
    return waiting;
  }

  /** Returns the entry with a key, or {@link #EMPTY} if there is none. */
  private int find(long key) {
    for (int slot = (int) key & mask; table[slot] != EMPTY; slot = (slot + 1) & mask) {
      if (keys[table[slot]] == key) {
        return table[slot];
      }
    }
    return EMPTY;
  }

  /**
   * Removes an entry. The entries after it in the same probe sequence are moved up, because a
   * lookup stops at the first empty slot and would not find them beyond the gap.
   */
  private void remove(int entry) {
    int gap = (int) keys[entry] & mask;
    while (table[gap] != entry) {
      gap = (gap + 1) & mask;
    }
    occupied[entry] = false;
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
