package tillerlink.members.probe;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Questions that others asked this process to put for them. Bounded: beyond it others are not
 * helped.
 */
public final class IndirectProbes {
  public static final int MOST = 256;

  /** For whom, and the number it gave. */
  public record For(String asker, String address, long number, String target, long until) {}

  private final Map<Long, For> open = new LinkedHashMap<>();
  private final RandomGenerator random;

  public IndirectProbes(RandomGenerator random) {
    this.random = random;
  }

  /**
   * @return the number to ask with; 0 if there is no room
   */
  public long add(For who) {
    if (open.size() >= MOST) {
      return 0;
    }
    long number = random.nextLong();
    if (number == 0 || open.containsKey(number)) {
      return 0;
    }
    open.put(number, who);
    return number;
  }

  /** Null if nobody asked for that, or for another. */
  public For answered(long number, String from) {
    For who = open.get(number);
    return who != null && who.target.equals(from) ? open.remove(number) : null;
  }

  /** Those whose time is up. */
  public List<For> expired(long now) {
    List<For> over = new ArrayList<>();
    open.values().removeIf(who -> who.until <= now && over.add(who));
    return over;
  }

  public long dueAt() {
    long due = Long.MAX_VALUE;
    for (For who : open.values()) {
      due = Math.min(due, who.until);
    }
    return due;
  }

  public void away() {
    open.clear();
  }
}
