package tillerlink.channels.recovery;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import tillerlink.channels.journal.CompactedState;
import tillerlink.channels.journal.Journal;
import tillerlink.cluster.KeyValueStore;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;

/**
 * What a gateway stores, by key: {@code e/INCARNATION/SEQUENCE} events, {@code k/SLOT} decided
 * cuts, {@code v} the acceptor's state, {@code i} its last incarnation, {@code s} which compacted
 * state is valid, {@code s/SLOT/PART} compacted states. Numbers in keys are 16 hex digits. Changes
 * become durable in the order in which they are handed over, so that a promise never outlives the
 * events that it refers to. Nothing here waits for the disk.
 */
public final class Store {
  private static final String EVENTS = "e/";
  private static final String CUTS = "k/";
  private static final String ACCEPTOR = "v";
  private static final String INCARNATION = "i";
  private static final String STATE = "s";
  private static final String STATES = "s/";

  private static final int STATE_SLOT = 1;
  private static final int STATE_PARTS = 2;
  private static final int INCARNATION_NUMBER = 1;

  private static final int HEX_DIGITS = 16;
  private static final int PART_BYTES = 1 << 19;

  private final KeyValueStore storage;
  private long failures;
  private long unreadable;

  /** Stores in a table of keys and values. */
  public Store(KeyValueStore storage) {
    this.storage = storage;
  }

  // ---- keys ----

  private static String hex(long value) {
    String digits = Long.toHexString(value);
    return "0".repeat(HEX_DIGITS - digits.length()) + digits;
  }

  private static String eventKey(Entry entry) {
    return EVENTS + hex(entry.incarnation()) + "/" + hex(entry.sequence());
  }

  private static String partKey(long slot, int part) {
    return STATES + hex(slot) + "/" + hex(part);
  }

  /** What was stored at the start under keys with a prefix that ends with a slash. */
  private NavigableMap<String, byte[]> found(String prefix) {
    // '0' is the character after the slash.
    String end = prefix.substring(0, prefix.length() - 1) + "0";
    return storage.initialEntries().subMap(prefix, true, end, false);
  }

  // ---- writing ----

  private boolean set(String key, byte[] value, Runnable onDurable) {
    boolean accepted = storage.set(key, value, onDurable);
    failures += accepted ? 0 : 1;
    return accepted;
  }

  private void remove(String key) {
    set(key, null, null);
  }

  /**
   * Stores an event.
   *
   * @param onDurable called once it is durable; may be null
   * @return false if it is not stored: the disk is full or has failed
   */
  public boolean entry(Entry entry, Runnable onDurable) {
    return set(eventKey(entry), EntryCodec.bytes(entry), onDurable);
  }

  /**
   * Stores a decided cut.
   *
   * @return false if it is not stored: the disk is full or has failed
   */
  public boolean cut(Cut cut) {
    return set(CUTS + hex(cut.slot()), EntryCodec.cut(cut).done(), null);
  }

  /**
   * Stores the acceptor's state.
   *
   * @param onDurable called once it is durable
   * @return false if it is not stored: the disk is full or has failed
   */
  public boolean voting(byte[] bytes, Runnable onDurable) {
    return set(ACCEPTOR, bytes, onDurable);
  }

  /**
   * Stores the incarnation of this process.
   *
   * @return false if it is not stored: the disk is full or has failed
   */
  public boolean incarnation(long incarnation) {
    byte[] value = new FieldWriter().fixed(INCARNATION_NUMBER, incarnation).done();
    return set(INCARNATION, value, null);
  }

  /**
   * Stores compacted state in place of the events and cuts that it covers.
   *
   * @param bytes the state
   * @param slot the slot up to which it is compacted
   * @param before the slot of the state that it replaces, 0 if there is none
   * @param covered the events that are removed
   * @param firstSlot the first slot whose cut is removed
   * @return false if it is not stored: the disk is full or has failed
   */
  public boolean sum(byte[] bytes, long slot, long before, List<Entry> covered, long firstSlot) {
    int parts = (bytes.length + PART_BYTES - 1) / PART_BYTES;
    for (int i = 0; i < parts; i++) {
      int end = Math.min(bytes.length, (i + 1) * PART_BYTES);
      byte[] part = Arrays.copyOfRange(bytes, i * PART_BYTES, end);
      if (!set(partKey(slot, i), part, null)) {
        return false;
      }
    }
    byte[] valid = new FieldWriter().number(STATE_SLOT, slot).number(STATE_PARTS, parts).done();
    if (!set(STATE, valid, null)) {
      return false;
    }
    covered.forEach(entry -> remove(eventKey(entry)));
    for (long old = firstSlot; old <= slot; old++) {
      remove(CUTS + hex(old));
    }
    if (before > 0 && before != slot) {
      removeState(before, parts);
    }
    return true;
  }

  /** Removes the parts of a state: those found at the start, and as many as the new one has. */
  private void removeState(long slot, int parts) {
    for (String key : found(STATES + hex(slot) + "/").keySet()) {
      remove(key);
    }
    for (int i = 0; i < parts; i++) {
      remove(partKey(slot, i));
    }
  }

  // ---- counters ----

  /** Returns how many changes could not be stored. */
  public long failures() {
    return failures;
  }

  /** Returns how many stored values could not be read; they were skipped. */
  public long unreadable() {
    return unreadable;
  }

  // ---- recovery ----

  /** Returns the incarnation of the last process; 0 if none is stored. */
  public long foundIncarnation() {
    byte[] value = storage.initialEntries().get(INCARNATION);
    try {
      FieldReader in = new FieldReader(value == null ? new byte[0] : value);
      return in.next() && in.field() == INCARNATION_NUMBER ? in.fixed() : 0;
    } catch (MalformedMessageException e) {
      unreadable++;
      return 0;
    }
  }

  /** Returns the acceptor's state; null if none is stored. */
  public byte[] foundVoting() {
    return storage.initialEntries().get(ACCEPTOR);
  }

  /** Puts what is stored into a journal, and applies it. */
  public void load(Journal journal) {
    loadState(journal);
    loadEvents(journal);
    for (byte[] value : found(CUTS).values()) {
      try {
        journal.learn(EntryCodec.cut(new FieldReader(value)));
      } catch (MalformedMessageException e) {
        unreadable++;
      }
    }
    journal.apply();
  }

  private void loadState(Journal journal) {
    byte[] state = foundState();
    if (state != null) {
      try {
        journal.startFrom(CompactedState.read(state), CompactedState.read(state));
      } catch (MalformedMessageException e) {
        unreadable++;
      }
    }
  }

  /** Puts the events into the journal; those that are compacted are removed from the store. */
  private void loadEvents(Journal journal) {
    List<Entry> covered = new ArrayList<>();
    for (byte[] value : found(EVENTS).values()) {
      try {
        Entry entry = EntryCodec.entry(value);
        if (!journal.put(entry) && journal.entry(entry.incarnation(), entry.sequence()) == null) {
          covered.add(entry);
        }
      } catch (MalformedMessageException e) {
        unreadable++;
      }
    }
    covered.forEach(entry -> remove(eventKey(entry)));
  }

  private byte[] foundState() {
    long slot = foundStateSlot();
    return slot == 0 ? null : concatenate(found(STATES + hex(slot) + "/").values());
  }

  private long foundStateSlot() {
    long slot = 0;
    try {
      FieldReader in = new FieldReader(storage.initialEntries().getOrDefault(STATE, new byte[0]));
      while (in.next()) {
        if (in.field() == STATE_SLOT) {
          slot = in.number();
        }
      }
    } catch (MalformedMessageException e) {
      unreadable++;
    }
    return slot;
  }

  private static byte[] concatenate(Collection<byte[]> parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    parts.forEach(all::writeBytes);
    return all.toByteArray();
  }
}
