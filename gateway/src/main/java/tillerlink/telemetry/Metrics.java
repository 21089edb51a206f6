package tillerlink.telemetry;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The counters and gauges of one gateway, exposed in the Prometheus text format. Confined to the
 * event-loop thread. Label values come only from enums of the program, so the number of series is
 * bounded.
 */
public final class Metrics {
  private static final String UNLABELLED = "";
  private static final String GAUGE_PREFIX = "tillerlink_";

  /** A metric whose value is read at the time of the exposition. */
  private record Gauge(String help, LongSupplier value) {}

  private final Map<Counter, Map<String, Long>> counts = new EnumMap<>(Counter.class);
  private final Map<String, Gauge> gauges = new LinkedHashMap<>();

  public void add(Counter counter) {
    add(counter, UNLABELLED);
  }

  /**
   * Increments a counter for a reason, which is exposed as the label {@code reason} in lower case.
   */
  public void add(Counter counter, Enum<?> reason) {
    add(counter, reason.name().toLowerCase(Locale.ROOT));
  }

  private void add(Counter counter, String label) {
    counts.computeIfAbsent(counter, key -> new TreeMap<>()).merge(label, 1L, Long::sum);
  }

  /** Returns the value of a counter, summed over all reasons. */
  public long total(Counter counter) {
    return counts.getOrDefault(counter, Map.of()).values().stream()
        .mapToLong(Long::longValue)
        .sum();
  }

  /**
   * Adds a gauge.
   *
   * @param name the metric name without the program's prefix, in snake case and with its unit
   * @param help the help text
   * @param value supplies the current value
   */
  public void gauge(String name, String help, LongSupplier value) {
    gauges.put(GAUGE_PREFIX + name, new Gauge(help, value));
  }

  /** Returns all metrics in the Prometheus text format. */
  public String exposition() {
    StringBuilder text = new StringBuilder(4096);
    for (Counter counter : Counter.values()) {
      header(text, counter.exposedName, counter.help, "counter");
      Map<String, Long> byLabel = counts.getOrDefault(counter, Map.of(UNLABELLED, 0L));
      byLabel.forEach((label, value) -> sample(text, counter.exposedName, label, value));
    }
    gauges.forEach(
        (name, gauge) -> {
          header(text, name, gauge.help, "gauge");
          sample(text, name, UNLABELLED, gauge.value.getAsLong());
        });
    return text.toString();
  }

  private static void header(StringBuilder text, String name, String help, String type) {
    text.append("# HELP ").append(name).append(' ').append(help).append('\n');
    text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
  }

  private static void sample(StringBuilder text, String name, String label, long value) {
    text.append(name);
    if (!label.equals(UNLABELLED)) {
      text.append("{reason=\"").append(label).append("\"}");
    }
    text.append(' ').append(value).append('\n');
  }
}
