package tillerlink.channels.cue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.Kind;

/**
 * One cue as its events make it, applied in the order of the log. Bounded: what exceeds the bounds
 * is in the log only.
 */
public final class Cue {
  static final int MAX_VERSIONS = 6;

  /**
   * A text that nobody who had seen it has replaced.
   *
   * @param dot names the event that wrote it
   * @param gateway the gateway that wrote it
   * @param text the text
   */
  public record Version(Dot dot, String gateway, String text) {}

  private final String name;
  private final List<Version> versions = new ArrayList<>(1);
  private final List<Dot> retractions = new ArrayList<>(0);
  private final EnumSet<Flag> flags = EnumSet.noneOf(Flag.class);

  /** Names the air mark in effect, null if there is none. */
  private Dot air;

  private long airsAt;

  Cue(String name) {
    this.name = name;
  }

  Cue(Cue other) {
    this(other.name, other.versions, other.retractions, other.flags, other.air, other.airsAt);
  }

  Cue(
      String name,
      List<Version> versions,
      List<Dot> retractions,
      Set<Flag> flags,
      Dot air,
      long airsAt) {
    this(name);
    this.versions.addAll(versions);
    this.retractions.addAll(retractions);
    this.flags.addAll(flags);
    this.air = air;
    this.airsAt = airsAt;
  }

  // ---- reading ----

  /** Returns the name of the cue. */
  public String name() {
    return name;
  }

  /** Returns the concurrent texts; the last one is in effect. */
  public List<Version> versions() {
    return List.copyOf(versions);
  }

  /** Returns the text in effect, empty if the cue is retracted or has none. */
  public String text() {
    return isRetracted() || versions.isEmpty() ? "" : versions.get(versions.size() - 1).text();
  }

  /** Whether the cue is retracted. */
  public boolean isRetracted() {
    return !retractions.isEmpty();
  }

  /** Returns when it airs, in milliseconds since 1970; 0 if no air mark is in effect. */
  public long airsAt() {
    return airsAt;
  }

  /** Returns what people should look at. */
  public Set<Flag> flags() {
    return EnumSet.copyOf(flags);
  }

  /** Returns the events in effect: whoever writes on this cue now has seen them. */
  public List<Dot> standing() {
    List<Dot> all = new ArrayList<>();
    versions.forEach(version -> all.add(version.dot));
    all.addAll(retractions);
    if (air != null) {
      all.add(air);
    }
    return all;
  }

  List<Dot> retractions() {
    return Collections.unmodifiableList(retractions);
  }

  Dot air() {
    return air;
  }

  // ---- events ----

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
   * Applies the next event.
   *
   * @param at milliseconds since 1970: when it was written or, if it came late, up to when the log
   *     before it was decided
   */
  void apply(Entry entry, long at) {
    boolean aired = air != null && at >= airsAt;
    if (aired && !(entry.kind() == Kind.CUE && saw(entry, air))) {
      flags.add(Flag.AFTER_AIR);
      return;
    }
    switch (entry.kind()) {
      case CUE -> applyCue(entry);
      case CORRECTION -> applyCorrection(entry);
      case RETRACTION -> applyRetraction(entry);
      case AIR -> applyAir(entry);
      default -> {}
    }
  }

  private void applyCue(Entry entry) {
    boolean sawAir = air != null && saw(entry, air);
    if (sawAir || (isRetracted() && sawAll(entry, retractions))) {
      versions.clear();
      retractions.clear();
      flags.clear();
      air = null;
      airsAt = 0;
    }
    addVersion(entry);
  }

  private void applyCorrection(Entry entry) {
    if (isRetracted() && sawAll(entry, retractions)) {
      flags.add(Flag.CORRECTED_RETRACTED);
      return;
    }
    if (versions.isEmpty() && !isRetracted()) {
      flags.add(Flag.NO_CUE);
    }
    addVersion(entry);
  }

  private void addVersion(Entry entry) {
    versions.removeIf(version -> saw(entry, version.dot));
    if (isRetracted()) {
      flags.add(Flag.RETRACTED_UNSEEN);
    } else if (versions.isEmpty()) {
      flags.remove(Flag.CONCURRENT);
    } else {
      flags.add(Flag.CONCURRENT);
    }
    versions.add(new Version(entry.dot(), entry.gateway(), entry.text()));
    if (versions.size() > MAX_VERSIONS) {
      versions.remove(0);
    }
  }

  private void applyRetraction(Entry entry) {
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
    if (retractions.size() > MAX_VERSIONS) {
      retractions.remove(0);
    }
  }

  private void applyAir(Entry entry) {
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
