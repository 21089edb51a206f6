package tillerlink;

import java.util.Map;

/** Settings shared by the tests of a whole gateway. */
public final class SharedSettings {
  private SharedSettings() {}

  /**
   * Returns capabilities with three attempts per request, cancellation, 32 streams per connection
   * and a connect time-out of 250 ms.
   */
  public static Map<String, Object> caps() {
    return Map.of(
        "max_attempts",
        3L,
        "may_cancel",
        true,
        "retry_after",
        true,
        "max_retry_after_us",
        1_000_000L,
        "streams_per_conn",
        32L,
        "connect_timeout_us",
        250_000L,
        "conn_idle_us",
        30_000_000L);
  }
}
