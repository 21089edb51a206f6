package tillerlink.faultinjection.soak;

import java.util.Locale;

/**
 * One fault of a soak.
 *
 * @param atMs when it begins
 * @param lastsMs how long it lasts
 * @param who the number of the gateway or engine that it hits
 * @param amount depending on the kind, a chance or a share of the greatest delay
 */
public record SoakFault(long atMs, long lastsMs, Kind kind, int who, double amount) {
  /** What a fault hits. */
  public enum Target {
    GATEWAY,
    ENGINE
  }

  /** The kinds of fault; schedules and reports print the names. */
  public enum Kind {
    STOPPED(Target.GATEWAY),
    KILLED(Target.GATEWAY),
    TERMINATED(Target.GATEWAY),
    /** The discovery service moves, which a new configuration and SIGHUP announce. */
    RELOADED(Target.GATEWAY),
    /** Three in a row, 50 ms apart. */
    RELOADED_THRICE(Target.GATEWAY),
    /** The discovery service receives queries and sends no responses. */
    NAMES_DOWN(Target.GATEWAY),
    /** Responses are computed and sent late. */
    NAMES_SLOW(Target.GATEWAY),
    /** Queries and responses are lost. */
    NAMES_LOSSY(Target.GATEWAY),
    /** Responses are repeated later. */
    NAMES_REORDERED(Target.GATEWAY),
    /** Responses contain an older list. */
    NAMES_OLDER(Target.GATEWAY),
    /** Responses are truncated. */
    NAMES_TRUNCATED(Target.GATEWAY),
    /** Responses to the port from which the gateway now sends are lost. */
    NAMES_WAY_SILENT(Target.GATEWAY),
    /** Connections to engines are served late at first. */
    DIAL_LATE(Target.GATEWAY),
    /** A network partition between a gateway and its engines; open connections are silent. */
    PARTED(Target.GATEWAY),
    /** Many clients at once. */
    CLIENTS_FLOOD(Target.GATEWAY),
    ENGINE_DRAINS(Target.ENGINE),
    /** It is removed without a drain, and its connections are silent. */
    ENGINE_VANISHES(Target.ENGINE),
    ENGINE_HANGS(Target.ENGINE),
    /** Its connections are reset; it restarts cold at the same address. */
    ENGINE_CRASHES(Target.ENGINE),
    ENGINE_REFUSES(Target.ENGINE),
    ENGINE_ERRS(Target.ENGINE),
    /** It resets connections before, during and after requests. */
    ENGINE_RESETS(Target.ENGINE),
    /** It closes idle connections. */
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
