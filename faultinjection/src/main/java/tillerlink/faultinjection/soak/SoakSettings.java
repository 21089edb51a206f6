package tillerlink.faultinjection.soak;

import java.util.List;
import java.util.Locale;

/**
 * The settings of the gateways of a soak run, against which the oracle checks them. Times are
 * milliseconds.
 */
final class SoakSettings {
  static final long GRACE_MS = 500;

  /** The tolerance of every time limit for the delay of sockets. */
  static final long SLACK_MS = 50;

  /** The time after which a gateway counts as knowing an update even if none was sent to it. */
  static final long PROPAGATION_MS = 1_500;

  /** The corresponding time if the discovery service had an outage. */
  static final long OUTAGE_PROPAGATION_MS = 7_000;

  static final long ANSWER_SLACK_MS = 500;
  static final long CANCELLED_SLACK_MS = 100;
  static final long LIMIT_SLACK_MS = 150;
  static final long BUDGET_SPAN_MS = 10_000;
  static final double BUDGET_FLOOR = 3;
  static final double BUDGET_SHARE = 0.1;

  /** The span within which attempts at a cold engine are counted. */
  static final long FALL_MS = 3_000;

  static final double FALL_MULTIPLE = 2.5;
  static final double START_CAPACITY = 0.3;
  static final long WARM_WITHIN_MS = 13_000;
  static final int CORES = 8;
  static final long WINDOW_MS = 2_000;
  static final long DEADLINE_MS = 3_000;
  static final List<String> ZONES = List.of("east", "west");

  /**
   * The request classes. {@code semantics} says whether a request may run twice, as in the settings
   * of the gateway.
   */
  enum RequestClass {
    LOOK("repeatable", false, false),
    BOOK("once", false, false),
    LOAD("by_key", false, false),
    FILE("repeatable", true, false),
    LOCAL("repeatable", false, true);

    final String semantics;

    /** Whether the order of requests with one subject is preserved. */
    final boolean ordered;

    /** Whether requests may run in the first zone only. */
    final boolean firstZoneOnly;

    RequestClass(String semantics, boolean ordered, boolean firstZoneOnly) {
      this.semantics = semantics;
      this.ordered = ordered;
      this.firstZoneOnly = firstZoneOnly;
    }

    /** Returns the name of the class in settings and paths. */
    String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private static final long MICROS_PER_MS = 1000;

  private SoakSettings() {}

  /**
   * Returns the settings of a gateway as JSON.
   *
   * @param instances the number of gateways
   * @param instance the number of the gateway, from 0
   */
  static String settings(int instances, int instance) {
    return "{\"tick_us\":5000,\"instances\":"
        + instances
        + ",\"me\":"
        + instance
        + ",\"guarantees\":"
        + guarantees()
        + ",\"caps\":{\"max_attempts\":3,"
        + "\"streams_per_conn\":16,\"may_cancel\":true,"
        + "\"connect_timeout_us\":500000,\"conn_idle_us\":8000000,\"retry_after\":true,"
        + "\"max_retry_after_us\":500000},"
        + "\"models\":[\"std\"],\"zones\":[\"east\",\"west\"],\"family_info\":{\"kind_cores\":["
        + CORES
        + "],\"tells_every_us\":2000000},\"profiles\":["
        + requestClasses()
        + "]}";
  }

  private static String guarantees() {
    return "{\"drain_grace_us\":"
        + GRACE_MS * MICROS_PER_MS
        + ",\"budget_span_us\":"
        + BUDGET_SPAN_MS * MICROS_PER_MS
        + ",\"extra_floor\":"
        + BUDGET_FLOOR
        + ",\"further_ratio\":"
        + BUDGET_SHARE
        + ",\"fall_us\":"
        + FALL_MS * MICROS_PER_MS
        + ",\"fall_multiple\":"
        + FALL_MULTIPLE
        + ",\"start_capacity\":"
        + START_CAPACITY
        + ",\"warm_within_us\":"
        + WARM_WITHIN_MS * MICROS_PER_MS
        + ",\"settle_after_doubt_us\":500000}";
  }

  private static String requestClasses() {
    StringBuilder requestClasses = new StringBuilder();
    for (RequestClass requestClass : RequestClass.values()) {
      requestClasses
          .append(requestClasses.length() == 0 ? "" : ",")
          .append("{\"name\":\"")
          .append(requestClass.wireName())
          .append("\",\"semantics\":\"")
          .append(requestClass.semantics)
          .append("\",\"group\":\"all\",\"window_us\":")
          .append(WINDOW_MS * MICROS_PER_MS)
          .append(",\"aim_us\":1500000,\"hard_limit_us\":")
          .append(DEADLINE_MS * MICROS_PER_MS)
          .append(",\"worth\":1,\"late_worth\":0.5")
          .append(requestClass.ordered ? ",\"keep_order\":true" : "")
          .append(requestClass.firstZoneOnly ? ",\"zones_open\":[0]" : "")
          .append('}');
    }
    return requestClasses.toString();
  }
}
