package tillerlink.channels.cue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.Kind;

/**
 * One cue as its events make it, taken in the order of the log. Bounded: what is more than it holds
 * is in the log.
 */
public final class Cue {
  static final int VERSIONS_MOST = 6;

  /** A text that nobody replaced who had seen it. */
  public record Version(Dot dot, String gateway, String text) {}

  final String name;
  final List<Version> versions = new ArrayList<>(1);
  final List<Dot> retractions = new ArrayList<>(0);
  final EnumSet<Flag> flags = EnumSet.noneOf(Flag.class);
  Dot air;
  long airsAt;

  Cue(String name) {
    this.name = name;
  }

  Cue(Cue other) {
    this(other.name);
    versions.addAll(other.versions);
    retractions.addAll(other.retractions);
    flags.addAll(other.flags);
    air = other.air;
    airsAt = other.airsAt;
  }

  public String name() {
    return name;
  }

  /** Those that stand beside each other; the last one stands. */
  public List<Version> versions() {
    return List.copyOf(versions);
  }

  /** The text that stands, empty if the cue was taken back or has none. */
  public String text() {
    return isRetracted() || versions.isEmpty() ? "" : versions.get(versions.size() - 1).text();
  }

  public boolean isRetracted() {
    return !retractions.isEmpty();
  }

  /** Milliseconds since 1970; 0 if no air mark stands. */
  public long airsAt() {
    return airsAt;
  }

  public EnumSet<Flag> flags() {
    return EnumSet.copyOf(flags);
  }

  /** The events that whoever writes on this cue now has before his eyes. */
  public List<Dot> standing() {
    List<Dot> all = new ArrayList<>();
    versions.forEach(version -> all.add(version.dot));
    all.addAll(retractions);
    if (air != null) {
      all.add(air);
    }
    return all;
  }

  private static boolean saw(Entry entry, Dot dot) {
    for (Dot seen : entry.over()) {
      if (seen.same(dot)) {
        return true;
      }
    }
    return false;
  }

  private static boolean sawAll(Entry entry, List<Dot> dots) {
    for (Dot dot : dots) {
      if (!saw(entry, dot)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Takes the next event.
   *
   * @param at milliseconds since 1970: when it was written, or, if it came late, up to when all
   *     others were agreed on
   */
  void take(Entry entry, long at) {
    boolean aired = air != null && at >= airsAt;
    if (aired && !(entry.kind() == Kind.CUE && saw(entry, air))) {
      flags.add(Flag.AFTER_AIR);
      return;
    }
    switch (entry.kind()) {
      case CUE -> cue(entry);
      case CORRECTION -> correction(entry);
      case RETRACTION -> retraction(entry);
      case AIR -> air(entry, at);
      default -> {}
    }
  }

  private void cue(Entry entry) {
    if (air != null && saw(entry, air) || isRetracted() && sawAll(entry, retractions)) {
      versions.clear();
      retractions.clear();
      flags.clear();
      air = null;
      airsAt = 0;
    }
    text(entry);
  }

  private void correction(Entry entry) {
    if (isRetracted() && sawAll(entry, retractions)) {
      flags.add(Flag.CORRECTED_RETRACTED);
      return;
    }
    if (versions.isEmpty() && !isRetracted()) {
      flags.add(Flag.NO_CUE);
    }
    text(entry);
  }

  private void text(Entry entry) {
    versions.removeIf(version -> saw(entry, version.dot));
    if (isRetracted()) {
      flags.add(Flag.RETRACTED_UNSEEN);
    } else if (versions.isEmpty()) {
      flags.remove(Flag.CONCURRENT);
    } else {
      flags.add(Flag.CONCURRENT);
    }
    versions.add(new Version(entry.dot(), entry.gateway(), entry.text()));
    if (versions.size() > VERSIONS_MOST) {
      versions.remove(0);
    }
  }

  private void retraction(Entry entry) {
    if (versions.isEmpty() && !isRetracted()) {
      flags.add(Flag.NO_CUE);
    }
    versions.removeIf(version -> saw(entry, version.dot));
    if (!versions.isEmpty()) {
      flags.add(Flag.RETRACTED_UNSEEN);
    }
    flags.remove(Flag.CONCURRENT);
    retractions.removeIf(dot -> saw(entry, dot));
    retractions.add(entry.dot());
    if (retractions.size() > VERSIONS_MOST) {
      retractions.remove(0);
    }
  }

  private void air(Entry entry, long at) {
    if (isRetracted()) {
      flags.add(Flag.AIR_OF_RETRACTED);
      return;
    }
    if (versions.isEmpty()) {
      flags.add(Flag.NO_CUE);
    }
    long airs = Math.max(entry.airsAt(), entry.millis());
    if (entry.airsAt() < entry.millis()) {
      flags.add(Flag.AIR_PASSED);
    }
    if (air != null && !saw(entry, air)) {
      flags.add(Flag.AIR_TWICE);
      if (airs >= airsAt) {
        return;
      }
    }
    air = entry.dot();
    airsAt = airs;
  }
}
