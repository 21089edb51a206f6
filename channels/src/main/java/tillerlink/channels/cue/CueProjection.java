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
 * The result of applying a channel's events in order: the cues and the clients' idempotency keys.
 * It depends on the events and their order alone, so gateways that compact at different times have
 * equal projections.
 */
public final class CueProjection {
  /** The maximum number of cues; beyond it the least recently changed cue is evicted. */
  public static final int MAX_CUES = 5000;

  /**
   * The maximum number of idempotency keys; beyond it the oldest key is evicted. A client's retry
   * is recognized as long as fewer events with other keys than this have been applied since.
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
   * @param at the event's effective time in milliseconds since 1970, see {@link Cue#apply}
   * @return true if an earlier event has the same idempotency key, so that this one has no effect
   */
  public boolean apply(Entry entry, long at) {
    count++;
    if (!entry.key().isEmpty()) {
      if (keys.containsKey(entry.key())) {
        return true;
      }
      keys.put(entry.key(), entry.dot());
      evictOldestAbove(keys, MAX_KEYS);
    }
    if (!entry.cue().isEmpty()) {
      Cue existing = cues.remove(entry.cue());
      Cue cue = existing == null ? new Cue(entry.cue()) : existing;
      cue.apply(entry, at);
      cues.put(cue.name(), cue);
      evictOldestAbove(cues, MAX_CUES);
    }
    return false;
  }

  private static void evictOldestAbove(Map<String, ?> oldestFirst, int max) {
    if (oldestFirst.size() > max) {
      oldestFirst.remove(oldestFirst.keySet().iterator().next());
    }
  }

  /**
   * Applies an event to a cue that is not part of a projection.
   *
   * @param at the event's effective time in milliseconds since 1970, see {@link Cue#apply}
   */
  public static void apply(Cue cue, Entry entry, long at) {
    cue.apply(entry, at);
  }

  // ---- reading ----

  /** Returns the number of events applied, repeats included. */
  public long count() {
    return count;
  }

  /**
   * Looks up the event that was written with an idempotency key.
   *
   * @return the identifier of the event; null if the key is unknown or was evicted
   */
  public Dot key(String key) {
    return keys.get(key);
  }

  /**
   * Returns a copy of a cue, to which the caller can apply further events; a new cue without events
   * if the name is unknown.
   */
  public Cue copyOf(String name) {
    Cue cue = cues.get(name);
    return cue == null ? new Cue(name) : new Cue(cue);
  }

  /** Returns a live view of the cues, the least recently changed one first. */
  public Collection<Cue> cues() {
    return Collections.unmodifiableCollection(cues.values());
  }

  // ---- encoding ----

  /** Encodes the projection as a part of compacted state. */
  public FieldWriter encode() {
    FieldWriter out = new FieldWriter().number(COUNT, count);
    keys.forEach(
        (key, dot) ->
            out.within(
                KEY, new FieldWriter().text(KEY_TEXT, key).within(KEY_DOT, EntryCodec.dot(dot))));
    cues.values().forEach(cue -> out.within(CUE, CueCodec.write(cue)));
    return out;
  }

  /**
   * Decodes a projection.
   *
   * @throws MalformedMessageException if the fields are truncated or out of range
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
