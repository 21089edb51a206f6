package tillerlink.faultinjection.soak;

import java.util.Locale;

/**
 * One fault of a soak.
 *
 * @param atMs when it begins
 * @param lastsMs how long it lasts
 * @param who the gateway or the engine that it befalls, by its number
 * @param amount what the kind says: a chance, milliseconds
 */
public record SoakFault(long atMs, long lastsMs, Kind kind, int who, double amount) {
  /** What a fault befalls. */
  public enum Target {
    GATEWAY,
    ENGINE
  }

  /** What may befall. */
  public enum Kind {
    STOPPED(Target.GATEWAY),
    KILLED(Target.GATEWAY),
    TERMINATED(Target.GATEWAY),
    /** A new configuration and SIGHUP, by which the discovery service moves. */
    RELOADED(Target.GATEWAY),
    /** Three in a row, 50 ms apart. */
    RELOADED_THRICE(Target.GATEWAY),
    /** The discovery service takes questions and sends no answer. */
    NAMES_DOWN(Target.GATEWAY),
    /** Answers are worked out and sent late. */
    NAMES_SLOW(Target.GATEWAY),
    /** Questions and answers are lost. */
    NAMES_LOSSY(Target.GATEWAY),
    /** Answers come a second time, later. */
    NAMES_REORDERED(Target.GATEWAY),
    /** Answers hold the list as it was some time ago. */
    NAMES_OLDER(Target.GATEWAY),
    /** Answers are cut short and can't be read. */
    NAMES_TRUNCATED(Target.GATEWAY),
    /** Nothing arrives any more at the port that the gateway asks from now. */
    NAMES_WAY_SILENT(Target.GATEWAY),
    /** Connections to engines come up, and are served, late. */
    DIAL_LATE(Target.GATEWAY),
    /** Nothing gets between a gateway and its engines; open connections are silent. */
    PARTED(Target.GATEWAY),
    CLIENTS_FLOOD(Target.GATEWAY),
    ENGINE_DRAINS(Target.ENGINE),
    /** It is gone without a drain, and its connections are silent. */
    ENGINE_VANISHES(Target.ENGINE),
    ENGINE_HANGS(Target.ENGINE),
    /** Its connections are reset; it comes back cold at the same address. */
    ENGINE_CRASHES(Target.ENGINE),
    ENGINE_REFUSES(Target.ENGINE),
    ENGINE_ERRS(Target.ENGINE),
    /** It resets connections before, under and after requests. */
    ENGINE_RESETS(Target.ENGINE),
    /** It closes connections that rest, without a word. */
    ENGINE_CLOSES_IDLE(Target.ENGINE);

    final Target target;

    Kind(Target target) {
      this.target = target;
    }
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%6d ms  %-18s %s%d for %d ms (%.3g)",
        atMs,
        kind,
        kind.target == Target.GATEWAY ? "n" : "e",
        who,
        lastsMs,
        amount);
  }
}
