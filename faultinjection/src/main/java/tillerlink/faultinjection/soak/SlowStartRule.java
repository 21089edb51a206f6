package tillerlink.faultinjection.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The limit of requests to a cold engine. Counted in requests of mean work, an engine is overloaded
 * at its capacity N plus twice the root of N, plus 2; with N below 30 at thrice the root, plus 3.
 */
final class SlowStartRule {
  private static final double FEW = 30;

  private final SoakOracle.DiscoveryHistory discovery;
  private final Map<Integer, Deque<SoakOracle.Attempt>> recent = new HashMap<>();

  SlowStartRule(SoakOracle.DiscoveryHistory discovery) {
    this.discovery = discovery;
  }

  /** Counts an attempt; returns the violation that it is, or null. */
  String check(SoakOracle.Attempt attempt) {
    double started = discovery.startedAt(attempt.engine(), attempt.at());
    if (started <= 0 || attempt.at() > started + SoakSettings.WARM_WITHIN_MS) {
      recent.remove(attempt.engine());
      return null;
    }
    Deque<SoakOracle.Attempt> attempts =
        recent.computeIfAbsent(attempt.engine(), engine -> new ArrayDeque<>());
    attempts.addLast(attempt);
    attempts.removeIf(
        other -> other.at() < attempt.at() - SoakSettings.FALL_MS || other.at() < started);
    double limit = limit(attempt.at() - started);
    long knowing = attempts.stream().filter(this::knewStart).count();
    if (attempts.size() <= limit || knowing <= attempts.size() * 2 / 3) {
      return null;
    }
    return String.format(
        Locale.ROOT,
        "e%d got %d requests in 3 s, %.0f ms after its start, %d of them from who knew; it bears"
            + " %.0f",
        attempt.engine(),
        attempts.size(),
        attempt.at() - started,
        knowing,
        limit);
  }

  private boolean knewStart(SoakOracle.Attempt attempt) {
    return discovery.startKnownAt(attempt.gateway(), attempt.engine(), attempt.at())
        <= attempt.at();
  }

  private static double limit(double age) {
    double warmth =
        SoakSettings.START_CAPACITY
            + (1 - SoakSettings.START_CAPACITY) * age / SoakSettings.WARM_WITHIN_MS;
    double capacity =
        SoakSettings.FALL_MULTIPLE
            * warmth
            * SoakSettings.CORES
            * SoakSettings.FALL_MS
            / SoakLoad.ESTIMATE_MS;
    return capacity < FEW
        ? capacity + 3 * Math.sqrt(capacity) + 3
        : capacity + 2 * Math.sqrt(capacity) + 2;
  }
}
