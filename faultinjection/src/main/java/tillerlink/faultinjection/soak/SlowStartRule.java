package tillerlink.faultinjection.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The check of the number of attempts at a cold engine. With a capacity of N requests of mean work,
 * an engine is overloaded beyond N + 2 sqrt(N) + 2 requests, or beyond N + 3 sqrt(N) + 3 if N is
 * below 30. A violation also needs more than two thirds of the attempts to come from gateways that
 * knew of the engine's start.
 */
final class SlowStartRule {
  private static final double SMALL_CAPACITY = 30;

  private final SoakOracle.DiscoveryHistory discovery;
  private final Map<Integer, Deque<SoakOracle.Attempt>> recent = new HashMap<>();

  SlowStartRule(SoakOracle.DiscoveryHistory discovery) {
    this.discovery = discovery;
  }

  /** Counts an attempt; returns a description of the violation that it causes, or null. */
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
    long informed = attempts.stream().filter(this::gatewayKnewStart).count();
    if (attempts.size() <= limit || informed <= attempts.size() * 2 / 3) {
      return null;
    }
    return String.format(
        Locale.ROOT,
        "e%d got %d requests in 3 s, %.0f ms after its start, %d of them from gateways that knew"
            + " of the start; its limit is %.0f",
        attempt.engine(),
        attempts.size(),
        attempt.at() - started,
        informed,
        limit);
  }

  private boolean gatewayKnewStart(SoakOracle.Attempt attempt) {
    return discovery.startKnownAt(attempt.gateway(), attempt.engine(), attempt.at())
        <= attempt.at();
  }

  /**
   * Returns the limit of attempts within the last {@code FALL_MS}.
   *
   * @param age the time since the start of the engine, in milliseconds
   */
  private static double limit(double age) {
    double capacityShare =
        SoakSettings.START_CAPACITY
            + (1 - SoakSettings.START_CAPACITY) * age / SoakSettings.WARM_WITHIN_MS;
    double capacity =
        SoakSettings.FALL_MULTIPLE
            * capacityShare
            * SoakSettings.CORES
            * SoakSettings.FALL_MS
            / SoakLoad.ESTIMATE_MS;
    return capacity < SMALL_CAPACITY
        ? capacity + 3 * Math.sqrt(capacity) + 3
        : capacity + 2 * Math.sqrt(capacity) + 2;
  }
}
