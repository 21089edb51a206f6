package tillerlink.faultinjection.soak;

import java.util.Locale;

/**
 * A fault of a soak run.
 *
 * @param atMs the time at which the fault begins, in milliseconds since the start of the load
 * @param durationMs the duration of the fault, in milliseconds
 * @param who the number of the affected gateway or engine, from 0
 * @param amount the strength of the fault, from 0 to 1; only {@code NAMES_LOSSY} and {@code
 *     NAMES_SLOW} use it
 */
public record SoakFault(long atMs, long durationMs, Kind kind, int who, double amount) {
  /** The kind of process that a fault affects. */
  public enum Target {
    GATEWAY,
    ENGINE
  }

  /** The kinds of fault, whose names are printed in schedules and reports. */
  public enum Kind {
    STOPPED(Target.GATEWAY),
    KILLED(Target.GATEWAY),
    TERMINATED(Target.GATEWAY),
    /** The discovery service moves to another port, announced by a new configuration and SIGHUP. */
    RELOADED(Target.GATEWAY),
    /** Three such moves in a row, 50 ms apart. */
    RELOADED_THRICE(Target.GATEWAY),
    /** The discovery service receives queries but sends no responses. */
    NAMES_DOWN(Target.GATEWAY),
    /** The discovery service computes and sends responses late. */
    NAMES_SLOW(Target.GATEWAY),
    /** A share of the discovery queries and responses is lost. */
    NAMES_LOSSY(Target.GATEWAY),
    /** Each discovery response is sent a second time later, so that it may follow newer ones. */
    NAMES_REORDERED(Target.GATEWAY),
    /** Discovery responses contain an older endpoint list. */
    NAMES_OLDER(Target.GATEWAY),
    /** About half of the discovery responses are truncated. */
    NAMES_TRUNCATED(Target.GATEWAY),
    /** Discovery responses to the port from which the gateway sends at the beginning are lost. */
    NAMES_WAY_SILENT(Target.GATEWAY),
    /** The first response on each new connection to an engine is late. */
    DIAL_LATE(Target.GATEWAY),
    /** A network partition between a gateway and its engines: connections stay open but silent. */
    PARTED(Target.GATEWAY),
    /** Many clients send requests at once. */
    CLIENTS_FLOOD(Target.GATEWAY),
    ENGINE_DRAINS(Target.ENGINE),
    /** The engine is removed from the list without a drain, and its connections are silent. */
    ENGINE_VANISHES(Target.ENGINE),
    ENGINE_HANGS(Target.ENGINE),
    /** The engine's connections are reset, and it restarts cold at the same address. */
    ENGINE_CRASHES(Target.ENGINE),
    ENGINE_REFUSES(Target.ENGINE),
    ENGINE_ERRS(Target.ENGINE),
    /** The engine resets connections when they open and while requests run. */
    ENGINE_RESETS(Target.ENGINE),
    /** The engine closes idle connections. */
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
        durationMs,
        amount);
  }
}
