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
 * The state of one cue after its events were applied in the order of the log. The numbers of
 * versions and of retractions are bounded; older ones remain readable in the log only.
 */
public final class Cue {
  /** The maximum number of concurrent versions of a cue, and of its retractions. */
  static final int MAX_VERSIONS = 6;

  /**
   * A text that no later writer has replaced knowingly, that is, after having seen it.
   *
   * @param dot the identifier of the event that wrote the text
   * @param gateway the name of the gateway that wrote it
   * @param text the text, empty for an event without one
   */
  public record Version(Dot dot, String gateway, String text) {}

  private final String name;
  private final List<Version> versions = new ArrayList<>(1);
  private final List<Dot> retractions = new ArrayList<>(0);
  private final EnumSet<Flag> flags = EnumSet.noneOf(Flag.class);

  /** The identifier of the air mark in effect, null if there is no such mark. */
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

  /** Returns the concurrent texts in the order of the log; the last one is in effect. */
  public List<Version> versions() {
    return List.copyOf(versions);
  }

  /** Returns the text in effect, empty if the cue is retracted or has no text. */
  public String text() {
    return isRetracted() || versions.isEmpty() ? "" : versions.get(versions.size() - 1).text();
  }

  /** Returns true if at least one retraction is in effect. */
  public boolean isRetracted() {
    return !retractions.isEmpty();
  }

  /**
   * Returns the time at which the cue airs.
   *
   * @return milliseconds since 1970; 0 if no air mark is in effect
   */
  public long airsAt() {
    return airsAt;
  }

  /** Returns the conditions of this cue that an operator should check. */
  public Set<Flag> flags() {
    return EnumSet.copyOf(flags);
  }

  /**
   * Returns the identifiers of the events in effect. An event that is written on this cue now names
   * them as seen by its writer.
   */
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

  private static boolean hasSeen(Entry entry, Dot dot) {
    for (Dot seen : entry.over()) {
      if (seen.same(dot)) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasSeenAll(Entry entry, List<Dot> dots) {
    for (Dot dot : dots) {
      if (!hasSeen(entry, dot)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Applies the next event of the log to this cue.
   *
   * @param at the event's effective time in milliseconds since 1970: the time at which it was
   *     written or, if it came late, the time up to which the log before it was decided
   */
  void apply(Entry entry, long at) {
    boolean aired = air != null && at >= airsAt;
    if (aired && !(entry.kind() == Kind.CUE && hasSeen(entry, air))) {
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
    boolean hasSeenAir = air != null && hasSeen(entry, air);
    if (hasSeenAir || (isRetracted() && hasSeenAll(entry, retractions))) {
      versions.clear();
      retractions.clear();
      flags.clear();
      air = null;
      airsAt = 0;
    }
    addVersion(entry);
  }

  private void applyCorrection(Entry entry) {
    if (isRetracted() && hasSeenAll(entry, retractions)) {
      flags.add(Flag.CORRECTED_RETRACTED);
      return;
    }
    if (versions.isEmpty() && !isRetracted()) {
      flags.add(Flag.NO_CUE);
    }
    addVersion(entry);
  }

  private void addVersion(Entry entry) {
    versions.removeIf(version -> hasSeen(entry, version.dot));
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
    versions.removeIf(version -> hasSeen(entry, version.dot));
    if (!versions.isEmpty()) {
      flags.add(Flag.RETRACTED_UNSEEN);
    }
    flags.remove(Flag.CONCURRENT);
    retractions.removeIf(dot -> hasSeen(entry, dot));
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
    long effectiveAirsAt = Math.max(entry.airsAt(), entry.millis());
    if (entry.airsAt() < entry.millis()) {
      flags.add(Flag.AIR_PASSED);
    }
    if (air != null && !hasSeen(entry, air)) {
      flags.add(Flag.AIR_TWICE);
      if (effectiveAirsAt >= airsAt) {
        return;
      }
    }
    air = entry.dot();
    airsAt = effectiveAirsAt;
  }
}
