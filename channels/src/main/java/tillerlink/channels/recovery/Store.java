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
 * The persistent state of a gateway's channels in a key-value store. The keys are {@code
 * e/INCARNATION/SEQUENCE} for events, {@code k/SLOT} for decided cuts, {@code v} for the acceptor's
 * state, {@code i} for the gateway's last incarnation, {@code s} for the slot of the valid
 * compacted state, and {@code s/SLOT/PART} for the parts of compacted states. Numbers in keys are
 * 16 hex digits.
 *
 * <p>Changes become durable in the order of the calls, so that a promise never outlives the events
 * that it refers to. No method waits for the disk.
 */
public final class Store {
  private static final String EVENT_PREFIX = "e/";
  private static final String CUT_PREFIX = "k/";
  private static final String ACCEPTOR_KEY = "v";
  private static final String INCARNATION_KEY = "i";
  private static final String STATE_KEY = "s";
  private static final String STATE_PART_PREFIX = "s/";

  private static final int STATE_SLOT = 1;
  private static final int STATE_PARTS = 2;
  private static final int INCARNATION_NUMBER = 1;

  private static final int HEX_DIGITS = 16;
  private static final int MAX_PART_BYTES = 1 << 19;

  private final KeyValueStore storage;
  private long failures;
  private long unreadable;

  /**
   * Creates a store on top of a key-value store.
   *
   * @param storage the key-value store, with the entries that it had at the start
   */
  public Store(KeyValueStore storage) {
    this.storage = storage;
  }

  // ---- keys ----

  private static String hex(long value) {
    String digits = Long.toHexString(value);
    return "0".repeat(HEX_DIGITS - digits.length()) + digits;
  }

  private static String eventKey(Entry entry) {
    return EVENT_PREFIX + hex(entry.incarnation()) + "/" + hex(entry.sequence());
  }

  private static String partKey(long slot, int part) {
    return STATE_PART_PREFIX + hex(slot) + "/" + hex(part);
  }

  /**
   * Returns the entries that were stored at the start under keys with a prefix.
   *
   * @param prefix the prefix, which ends with a slash
   */
  private NavigableMap<String, byte[]> initialEntries(String prefix) {
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
   * @param onDurable called once the event is durable; may be null
   * @return false if the event is not stored because the disk is full or has failed
   */
  public boolean entry(Entry entry, Runnable onDurable) {
    return set(eventKey(entry), EntryCodec.bytes(entry), onDurable);
  }

  /**
   * Stores a decided cut.
   *
   * @return false if the cut is not stored because the disk is full or has failed
   */
  public boolean cut(Cut cut) {
    return set(CUT_PREFIX + hex(cut.slot()), EntryCodec.cut(cut).done(), null);
  }

  /**
   * Stores the acceptor's state.
   *
   * @param bytes the encoded state
   * @param onDurable called once the state is durable; may be null
   * @return false if the state is not stored because the disk is full or has failed
   */
  public boolean voting(byte[] bytes, Runnable onDurable) {
    return set(ACCEPTOR_KEY, bytes, onDurable);
  }

  /**
   * Stores the incarnation of this process.
   *
   * @return false if the incarnation is not stored because the disk is full or has failed
   */
  public boolean incarnation(long incarnation) {
    byte[] value = new FieldWriter().fixed(INCARNATION_NUMBER, incarnation).done();
    return set(INCARNATION_KEY, value, null);
  }

  /**
   * Stores compacted state and removes the events and cuts that it covers.
   *
   * @param bytes the encoded state
   * @param slot the last compacted slot
   * @param previousSlot the last compacted slot of the state that is replaced, 0 if there is no
   *     such state
   * @param covered the events to remove
   * @param firstSlot the first slot whose cut is removed
   * @return false if the state is not stored because the disk is full or has failed
   */
  public boolean sum(
      byte[] bytes, long slot, long previousSlot, List<Entry> covered, long firstSlot) {
    int parts = (bytes.length + MAX_PART_BYTES - 1) / MAX_PART_BYTES;
    for (int i = 0; i < parts; i++) {
      int end = Math.min(bytes.length, (i + 1) * MAX_PART_BYTES);
      byte[] part = Arrays.copyOfRange(bytes, i * MAX_PART_BYTES, end);
      if (!set(partKey(slot, i), part, null)) {
        return false;
      }
    }
    byte[] valid = new FieldWriter().number(STATE_SLOT, slot).number(STATE_PARTS, parts).done();
    if (!set(STATE_KEY, valid, null)) {
      return false;
    }
    covered.forEach(entry -> remove(eventKey(entry)));
    for (long coveredSlot = firstSlot; coveredSlot <= slot; coveredSlot++) {
      remove(CUT_PREFIX + hex(coveredSlot));
    }
    if (previousSlot > 0 && previousSlot != slot) {
      removeState(previousSlot, parts);
    }
    return true;
  }

  /**
   * Removes the parts of a compacted state: those stored at the start, and as many as the new state
   * has.
   */
  private void removeState(long slot, int parts) {
    for (String key : initialEntries(STATE_PART_PREFIX + hex(slot) + "/").keySet()) {
      remove(key);
    }
    for (int i = 0; i < parts; i++) {
      remove(partKey(slot, i));
    }
  }

  // ---- counters ----

  /** Returns the number of changes that could not be stored. */
  public long failures() {
    return failures;
  }

  /** Returns the number of stored values that were skipped because they could not be decoded. */
  public long unreadable() {
    return unreadable;
  }

  // ---- recovery ----

  /**
   * Returns the incarnation that was stored by the last process; 0 if no incarnation is stored or
   * its value cannot be decoded.
   */
  public long foundIncarnation() {
    byte[] value = storage.initialEntries().get(INCARNATION_KEY);
    try {
      FieldReader in = new FieldReader(value == null ? new byte[0] : value);
      return in.next() && in.field() == INCARNATION_NUMBER ? in.fixed() : 0;
    } catch (MalformedMessageException e) {
      unreadable++;
      return 0;
    }
  }

  /** Returns the encoded state of the acceptor as stored at the start; null if it is absent. */
  public byte[] foundVoting() {
    return storage.initialEntries().get(ACCEPTOR_KEY);
  }

  /**
   * Loads the compacted state, the events and the decided cuts into a journal, and applies the
   * cuts.
   */
  public void load(Journal journal) {
    loadState(journal);
    loadEvents(journal);
    for (byte[] value : initialEntries(CUT_PREFIX).values()) {
      try {
        journal.learn(EntryCodec.cut(new FieldReader(value)));
      } catch (MalformedMessageException e) {
        unreadable++;
      }
    }
    journal.apply();
  }

  private void loadState(Journal journal) {
    byte[] state = readState();
    if (state != null) {
      try {
        journal.startFrom(CompactedState.read(state), CompactedState.read(state));
      } catch (MalformedMessageException e) {
        unreadable++;
      }
    }
  }

  /**
   * Loads the events into the journal. Removes from the store those that the compacted state
   * covers.
   */
  private void loadEvents(Journal journal) {
    List<Entry> covered = new ArrayList<>();
    for (byte[] value : initialEntries(EVENT_PREFIX).values()) {
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

  private byte[] readState() {
    long slot = readStateSlot();
    return slot == 0
        ? null
        : concatenate(initialEntries(STATE_PART_PREFIX + hex(slot) + "/").values());
  }

  private long readStateSlot() {
    long slot = 0;
    try {
      FieldReader in =
          new FieldReader(storage.initialEntries().getOrDefault(STATE_KEY, new byte[0]));
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
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    parts.forEach(joined::writeBytes);
    return joined.toByteArray();
  }
}
