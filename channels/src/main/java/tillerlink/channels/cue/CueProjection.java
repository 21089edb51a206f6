package tillerlink.channels.cue;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;

/**
 * The result of a channel's events applied one after the other: the cues, and the clients' keys. It
 * is a function of the events and their order alone, so gateways that compact at different times
 * have the same one.
 */
public final class CueProjection {
  /** Cues at the most; beyond it those that were changed longest ago are dropped. */
  public static final int MAX_CUES = 5000;

  /**
   * Keys at the most: a client's retry gives the same event as long as no more than so many others
   * with keys came since.
   */
  public static final int MAX_KEYS = 4096;

  private static final int COUNT = 1;
  private static final int KEY = 2;
  private static final int CUE = 3;

  private static final int KEY_TEXT = 1;
  private static final int KEY_DOT = 2;

  private final LinkedHashMap<String, Cue> cues = new LinkedHashMap<>();
  private final LinkedHashMap<String, Dot> keys = new LinkedHashMap<>();
  private long count;

  // ---- events ----

  /**
   * Applies the next event of the log.
   *
   * @param at see {@link Cue#apply}
   * @return whether it has the key of an earlier event, and so changes nothing
   */
  public boolean apply(Entry entry, long at) {
    count++;
    if (!entry.key().isEmpty()) {
      if (keys.containsKey(entry.key())) {
        return true;
      }
      keys.put(entry.key(), entry.dot());
      trim(keys, MAX_KEYS);
    }
    if (!entry.cue().isEmpty()) {
      Cue known = cues.remove(entry.cue());
      Cue cue = known == null ? new Cue(entry.cue()) : known;
      cue.apply(entry, at);
      cues.put(cue.name(), cue);
      trim(cues, MAX_CUES);
    }
    return false;
  }

  private static void trim(Map<String, ?> oldestFirst, int max) {
    if (oldestFirst.size() > max) {
      oldestFirst.remove(oldestFirst.keySet().iterator().next());
    }
  }

  /**
   * Applies an event to a cue that is not part of a projection.
   *
   * @param at see {@link Cue#apply}
   */
  public static void apply(Cue cue, Entry entry, long at) {
    cue.apply(entry, at);
  }

  // ---- reading ----

  /** Returns how many events were applied. */
  public long count() {
    return count;
  }

  /** Returns the event that a key stands for, null if none. */
  public Dot key(String key) {
    return keys.get(key);
  }

  /** Returns a copy of a cue, to apply more events to; an empty one if it is not known. */
  public Cue copyOf(String name) {
    Cue cue = cues.get(name);
    return cue == null ? new Cue(name) : new Cue(cue);
  }

  /** Returns the cues, in the order of their last change; a live view. */
  public Collection<Cue> cues() {
    return Collections.unmodifiableCollection(cues.values());
  }

  // ---- as bytes ----

  /** Writes the projection, as a part of compacted state. */
  public FieldWriter written() {
    FieldWriter out = new FieldWriter().number(COUNT, count);
    keys.forEach(
        (key, dot) ->
            out.within(
                KEY, new FieldWriter().text(KEY_TEXT, key).within(KEY_DOT, EntryCodec.dot(dot))));
    cues.values().forEach(cue -> out.within(CUE, CueCodec.write(cue)));
    return out;
  }

  /**
   * Reads a projection.
   *
   * @throws MalformedMessageException if it can't be read
   */
  public static CueProjection read(FieldReader in) throws MalformedMessageException {
    CueProjection projection = new CueProjection();
    while (in.next()) {
      switch (in.field()) {
        case COUNT -> projection.count = in.number();
        case KEY -> projection.readKey(in.within());
        case CUE -> projection.readCue(in.within());
        default -> {}
      }
    }
    return projection;
  }

  private void readKey(FieldReader in) throws MalformedMessageException {
    String key = "";
    Dot dot = null;
    while (in.next()) {
      switch (in.field()) {
        case KEY_TEXT -> key = in.text(CueCodec.MAX_NAME_BYTES);
        case KEY_DOT -> dot = EntryCodec.dot(in.within());
        default -> {}
      }
    }
    keys.put(key, dot);
  }

  private void readCue(FieldReader in) throws MalformedMessageException {
    Cue cue = CueCodec.read(in);
    cues.put(cue.name(), cue);
  }
}
