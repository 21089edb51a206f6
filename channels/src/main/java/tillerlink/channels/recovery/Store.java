package tillerlink.channels.recovery;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
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
 * What a gateway keeps, by name: {@code e/INCARNATION/SEQUENCE} events, {@code k/STEP} agreed
 * steps, {@code v} promises, {@code i} its last incarnation, {@code s} which sum holds, {@code
 * s/STEP/PART} the sums. Changes are kept in the order in which they are handed over: a promise
 * never outlives the events it speaks of.
 */
public final class Store {
  private static final int PART = 1 << 19;

  private final KeyValueStore keep;
  private long failures;
  private long unreadable;

  public Store(KeyValueStore keep) {
    this.keep = keep;
  }

  private boolean set(String name, byte[] value, Runnable kept) {
    boolean done = keep.set(name, value, kept);
    failures += done ? 0 : 1;
    return done;
  }

  private static String hex(long value) {
    String digits = Long.toHexString(value);
    return "0".repeat(16 - digits.length()) + digits;
  }

  private static String name(Entry entry) {
    return "e/" + hex(entry.incarnation()) + "/" + hex(entry.sequence());
  }

  public boolean entry(Entry entry, Runnable kept) {
    return set(name(entry), EntryCodec.bytes(entry), kept);
  }

  public boolean cut(Cut cut) {
    return set("k/" + hex(cut.slot()), EntryCodec.cut(cut).done(), null);
  }

  public boolean voting(byte[] bytes, Runnable kept) {
    return set("v", bytes, kept);
  }

  public boolean incarnation(long incarnation) {
    return set("i", new FieldWriter().fixed(1, incarnation).done(), null);
  }

  /**
   * Keeps a sum in place of what it stands for.
   *
   * @param gone the events that are in it, which go now
   * @param from the first step that goes
   */
  public boolean sum(byte[] bytes, long slot, long before, List<Entry> gone, long from) {
    int parts = (bytes.length + PART - 1) / PART;
    for (int i = 0; i < parts; i++) {
      byte[] part = Arrays.copyOfRange(bytes, i * PART, Math.min(bytes.length, (i + 1) * PART));
      if (!set("s/" + hex(slot) + "/" + hex(i), part, null)) {
        return false;
      }
    }
    if (!set("s", new FieldWriter().number(1, slot).number(2, parts).done(), null)) {
      return false;
    }
    gone.forEach(entry -> set(name(entry), null, null));
    for (long old = from; old <= slot; old++) {
      set("k/" + hex(old), null, null);
    }
    if (before > 0 && before != slot) {
      for (String name :
          keep.initialEntries()
              .subMap("s/" + hex(before) + "/", "s/" + hex(before) + "0")
              .keySet()) {
        set(name, null, null);
      }
      for (int i = 0; i < parts; i++) {
        set("s/" + hex(before) + "/" + hex(i), null, null);
      }
    }
    return true;
  }

  /** Changes that could not be kept. */
  public long failures() {
    return failures;
  }

  /** Values found at the start that could not be read; they were passed over. */
  public long unreadable() {
    return unreadable;
  }

  // ---- found at the start ----

  /** 0 if none is kept. */
  public long foundIncarnation() {
    byte[] value = keep.initialEntries().get("i");
    try {
      FieldReader in = new FieldReader(value == null ? new byte[0] : value);
      return in.next() && in.field() == 1 ? in.fixed() : 0;
    } catch (MalformedMessageException e) {
      unreadable++;
      return 0;
    }
  }

  /** Null if nothing was promised. */
  public byte[] foundVoting() {
    return keep.initialEntries().get("v");
  }

  /** Puts into the journal what is kept. */
  public void load(Journal journal) {
    byte[] sum = foundSum();
    if (sum != null) {
      try {
        journal.startFrom(CompactedState.read(sum), CompactedState.read(sum));
      } catch (MalformedMessageException e) {
        unreadable++;
      }
    }
    List<Entry> covered = new ArrayList<>();
    for (byte[] value : keep.initialEntries().subMap("e/", "e0").values()) {
      try {
        Entry entry = EntryCodec.entry(value);
        if (!journal.put(entry) && journal.entry(entry.incarnation(), entry.sequence()) == null) {
          covered.add(entry);
        }
      } catch (MalformedMessageException e) {
        unreadable++;
      }
    }
    covered.forEach(entry -> set(name(entry), null, null));
    for (byte[] value : keep.initialEntries().subMap("k/", "k0").values()) {
      try {
        journal.learn(EntryCodec.cut(new FieldReader(value)));
      } catch (MalformedMessageException e) {
        unreadable++;
      }
    }
    journal.apply();
  }

  private byte[] foundSum() {
    NavigableMap<String, byte[]> found = keep.initialEntries();
    long slot = 0;
    try {
      FieldReader in = new FieldReader(found.getOrDefault("s", new byte[0]));
      while (in.next()) {
        if (in.field() == 1) {
          slot = in.number();
        }
      }
    } catch (MalformedMessageException e) {
      unreadable++;
    }
    if (slot == 0) {
      return null;
    }
    java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
    for (Map.Entry<String, byte[]> part :
        found.subMap("s/" + hex(slot) + "/", "s/" + hex(slot) + "0").entrySet()) {
      all.writeBytes(part.getValue());
    }
    return all.toByteArray();
  }
}
