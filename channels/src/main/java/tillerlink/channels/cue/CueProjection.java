package tillerlink.channels.cue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;

/**
 * The sum of a channel's events taken one after the other: the cues, and the clients' keys. It is a
 * function of the events and their order alone, so gateways that compact at different moments have
 * the same one.
 */
public final class CueProjection {
  /** Those touched longest ago are forgotten beyond it. */
  public static final int CUES_MOST = 5000;

  /**
   * A client's retry gives the same event as long as no more than so many others with keys came
   * since.
   */
  public static final int KEYS_MOST = 4096;

  private final LinkedHashMap<String, Cue> cues = new LinkedHashMap<>();
  private final LinkedHashMap<String, Dot> keys = new LinkedHashMap<>();
  private long count;

  /**
   * Takes the next event of the log.
   *
   * @param at see {@link Cue#take}
   * @return whether it is the repeat of an earlier event with the same key, and so changes nothing
   */
  public boolean take(Entry entry, long at) {
    count++;
    if (!entry.key().isEmpty()) {
      if (keys.containsKey(entry.key())) {
        return true;
      }
      keys.put(entry.key(), entry.dot());
      trim(keys, KEYS_MOST);
    }
    if (!entry.cue().isEmpty()) {
      Cue cue = cues.remove(entry.cue());
      cue = cue == null ? new Cue(entry.cue()) : cue;
      cue.take(entry, at);
      cues.put(cue.name, cue);
      trim(cues, CUES_MOST);
    }
    return false;
  }

  private static <V> void trim(LinkedHashMap<String, V> of, int most) {
    if (of.size() > most) {
      of.remove(of.keySet().iterator().next());
    }
  }

  /** How many events it has taken. */
  public long count() {
    return count;
  }

  /** The event that a key stands for, null if none. */
  public Dot key(String key) {
    return keys.get(key);
  }

  /** A copy of a cue to take more events on, an empty one if it is not known. */
  public Cue copyOf(String name) {
    Cue cue = cues.get(name);
    return cue == null ? new Cue(name) : new Cue(cue);
  }

  /** A cue after more events, which are not in the book. */
  public static void take(Cue cue, Entry entry, long at) {
    cue.take(entry, at);
  }

  public Collection<Cue> cues() {
    return cues.values();
  }

  // ---- as bytes ----

  private static FieldWriter dot(Dot dot) {
    return new FieldWriter()
        .fixed(1, dot.incarnation())
        .number(2, dot.sequence())
        .fixed(3, dot.stamp());
  }

  private static Dot dot(FieldReader in) throws MalformedMessageException {
    long[] of = new long[3];
    while (in.next()) {
      switch (in.field()) {
        case 1, 3 -> of[in.field() - 1] = in.fixed();
        case 2 -> of[1] = in.number();
        default -> {}
      }
    }
    return new Dot(of[0], of[1], of[2]);
  }

  public FieldWriter written() {
    FieldWriter out = new FieldWriter().number(1, count);
    keys.forEach((key, dot) -> out.within(2, new FieldWriter().text(1, key).within(2, dot(dot))));
    cues.values().forEach(cue -> out.within(3, written(cue)));
    return out;
  }

  private static FieldWriter written(Cue cue) {
    FieldWriter out = new FieldWriter().text(1, cue.name).number(2, cue.airsAt);
    if (cue.air != null) {
      out.within(3, dot(cue.air));
    }
    cue.versions.forEach(
        version ->
            out.within(
                4,
                new FieldWriter()
                    .within(1, dot(version.dot()))
                    .text(2, version.gateway())
                    .text(3, version.text())));
    cue.retractions.forEach(dot -> out.within(5, dot(dot)));
    cue.flags.forEach(flag -> out.number(6, flag.ordinal() + 1));
    return out;
  }

  public static CueProjection read(FieldReader in) throws MalformedMessageException {
    CueProjection book = new CueProjection();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> book.count = in.number();
        case 2 -> readKey(in.within(), book.keys);
        case 3 -> {
          Cue cue = readCue(in.within());
          book.cues.put(cue.name, cue);
        }
        default -> {}
      }
    }
    return book;
  }

  private static void readKey(FieldReader in, Map<String, Dot> to)
      throws MalformedMessageException {
    String key = "";
    Dot dot = null;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> key = in.text(255);
        case 2 -> dot = dot(in.within());
        default -> {}
      }
    }
    to.put(key, dot);
  }

  private static Cue readCue(FieldReader in) throws MalformedMessageException {
    String name = "";
    Dot air = null;
    long airsAt = 0;
    List<Cue.Version> versions = new ArrayList<>();
    List<Dot> retractions = new ArrayList<>();
    List<Flag> flags = new ArrayList<>();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> name = in.text(255);
        case 2 -> airsAt = in.number();
        case 3 -> air = dot(in.within());
        case 4 -> versions.add(version(in.within()));
        case 5 -> retractions.add(dot(in.within()));
        case 6 -> flags.add(Flag.values()[(int) in.number(Flag.values().length) - 1]);
        default -> {}
      }
    }
    Cue cue = new Cue(name);
    cue.air = air;
    cue.airsAt = airsAt;
    cue.versions.addAll(versions);
    cue.retractions.addAll(retractions);
    cue.flags.addAll(flags);
    return cue;
  }

  private static Cue.Version version(FieldReader in) throws MalformedMessageException {
    Dot dot = null;
    String gateway = "";
    String text = "";
    while (in.next()) {
      switch (in.field()) {
        case 1 -> dot = dot(in.within());
        case 2 -> gateway = in.text(255);
        case 3 -> text = in.text(4096);
        default -> {}
      }
    }
    return new Cue.Version(dot, gateway, text);
  }
}
