package tillerlink.telemetry;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured lines on what happened and why: a topic, an event, and fields as {@code key=value}.
 * Each topic has a token bucket of its own, so that trouble which repeats fills neither the log nor
 * the processor; suppressed lines are counted, and the count is part of the next line of that
 * topic. Owned by the thread that owns the state.
 */
public final class EventLog {
  /** What a line is about. */
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
  private static final int BURST = 40;
  private static final long TENTHS_PER_LINE = 2_000;

  /** Lines that a topic may still write, and those that it suppressed. */
  private static final class Bucket {
    private double tokens = BURST;
    private long filledAt = Long.MIN_VALUE;
    private long suppressed;

    boolean take(long now) {
      if (filledAt != Long.MIN_VALUE) {
        tokens = Math.min(BURST, tokens + (double) (now - filledAt) / TENTHS_PER_LINE);
      }
      filledAt = now;
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
   * @param enabled whether anything is written at all
   */
  public EventLog(boolean enabled) {
    this.enabled = enabled;
    for (Topic topic : Topic.values()) {
      buckets.put(topic, new Bucket());
    }
  }

  /**
   * Writes a line unless its topic has written too many of late.
   *
   * @param now tenths of a millisecond
   * @param fields names and values in turn
   */
  public void event(long now, Topic topic, String what, Object... fields) {
    Bucket bucket = buckets.get(topic);
    if (!enabled || !bucket.take(now)) {
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
    line.log(what);
  }
}
