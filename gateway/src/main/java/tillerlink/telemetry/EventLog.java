package tillerlink.telemetry;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * A structured log of events: each line has a topic, the event, and fields as {@code key=value}.
 * Each topic is rate-limited by its own token bucket, so that a repeated fault neither fills the
 * log nor uses up the processor. Suppressed lines are counted, and the count is added to the next
 * line of that topic. Confined to the event-loop thread.
 */
public final class EventLog {
  /** The subject of a log line. */
  public enum Topic {
    ENGINE,
    DISCOVERY,
    ATTEMPT,
    REQUEST,
    CONNECTION,
    PROCESS,
    INVARIANT
  }

  private static final Logger LOG = LoggerFactory.getLogger("Events");
  private static final int BURST_LINES = 40;
  private static final long TENTHS_PER_LINE = 2_000;

  /** The token bucket of a topic and the number of lines that it suppressed. */
  private static final class Bucket {
    private double tokens = BURST_LINES;
    private long refilledAt = Long.MIN_VALUE;
    private long suppressed;

    boolean tryTake(long now) {
      if (refilledAt != Long.MIN_VALUE) {
        tokens = Math.min(BURST_LINES, tokens + (double) (now - refilledAt) / TENTHS_PER_LINE);
      }
      refilledAt = now;
      if (tokens < 1) {
        suppressed++;
        return false;
      }
      tokens--;
      return true;
    }
  }

  private final Map<Topic, Bucket> buckets = new EnumMap<>(Topic.class);
  private final boolean enabled;

  /**
   * Creates an event log with a full token bucket for each topic.
   *
   * @param enabled whether events are written at all
   */
  public EventLog(boolean enabled) {
    this.enabled = enabled;
    for (Topic topic : Topic.values()) {
      buckets.put(topic, new Bucket());
    }
  }

  /**
   * Writes a line unless the rate limit of its topic is exceeded.
   *
   * @param now the current time, in tenths of a millisecond
   * @param topic the topic whose rate limit applies
   * @param event a short description of the event
   * @param fields alternating names and values
   */
  public void event(long now, Topic topic, String event, Object... fields) {
    Bucket bucket = buckets.get(topic);
    if (!enabled || !bucket.tryTake(now)) {
      return;
    }
    LoggingEventBuilder line =
        LOG.atLevel(topic == Topic.INVARIANT ? Level.ERROR : Level.INFO)
            .addKeyValue("topic", topic.name().toLowerCase(Locale.ROOT));
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line = line.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
    }
    if (bucket.suppressed > 0) {
      line = line.addKeyValue("suppressed", bucket.suppressed);
      bucket.suppressed = 0;
    }
    line.log(event);
  }
}
