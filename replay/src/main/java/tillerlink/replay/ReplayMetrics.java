package tillerlink.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import tillerlink.workload.RequestClassSpec;

/**
 * The metrics of a run: how requests ended, and the value served within the latency objective as a
 * share of the value requested. Times are tenths of a millisecond from the start of the run.
 */
public final class ReplayMetrics {
  private static final List<End> ENDS = List.of(End.values());
  private static final double TICKS_PER_MS = 10;

  /** One second, in tenths of a millisecond. */
  static final long SECOND = 10_000;

  private static final long WINDOW = 10 * SECOND;

  /** The number of requests below which a window is ignored. */
  private static final long MIN_WINDOW_REQUESTS = 20;

  private static final int SIGNIFICANT_DIGITS = 3;

  /** The metrics of one request class. */
  public static final class RequestClassMetrics {
    private final RequestClassSpec requestClass;
    private final Map<End, Long> ends = new EnumMap<>(End.class);
    private final Histogram times;
    private long arrived;

    RequestClassMetrics(RequestClassSpec requestClass) {
      this.requestClass = requestClass;
      times = new Histogram(1, Math.max(2, 4 * requestClass.deadline()), SIGNIFICANT_DIGITS);
    }

    public RequestClassSpec requestClass() {
      return requestClass;
    }

    public long arrived() {
      return arrived;
    }

    public long ended(End end) {
      return ends.getOrDefault(end, 0L);
    }

    /**
     * Returns a percentile of the response times of successful requests, in milliseconds.
     *
     * @param percentile from 0 to 100
     * @return NaN if no request succeeded
     */
    public double timeMs(double percentile) {
      return times.getTotalCount() == 0
          ? Double.NaN
          : times.getValueAtPercentile(percentile) / TICKS_PER_MS;
    }

    /** Returns the share of requests served within the latency objective; NaN without requests. */
    public double served() {
      return arrived == 0 ? Double.NaN : (double) ended(End.IN_TIME) / arrived;
    }
  }

  private final List<RequestClassMetrics> requestClasses = new ArrayList<>();
  private final WorstWindow worstWindow;

  /** Counts by time of arrival. Index 0 is all requests, the others are the ends. */
  private final TimeSeries series = new TimeSeries(1 + ENDS.size(), SECOND);

  private double valueRequested;
  private double valueServed;

  /** Creates the metrics of a run with these request classes. */
  public ReplayMetrics(List<RequestClassSpec> requestClasses) {
    requestClasses.forEach(
        requestClass -> this.requestClasses.add(new RequestClassMetrics(requestClass)));
    long longest = requestClasses.stream().mapToLong(RequestClassSpec::deadline).max().orElse(0);
    worstWindow = new WorstWindow(WINDOW, 2 * longest, MIN_WINDOW_REQUESTS);
  }

  /**
   * Records the arrival of a request.
   *
   * @param time the time of arrival
   * @param requestClass the index of the request class
   */
  public void arrived(long time, int requestClass) {
    RequestClassMetrics metrics = requestClasses.get(requestClass);
    metrics.arrived++;
    valueRequested += metrics.requestClass.value();
    worstWindow.requested(time, metrics.requestClass.value());
    series.add(time, 0, 1);
  }

  /**
   * Records the end of a request.
   *
   * @param arrivedAt the time of arrival
   * @param requestClass the index of the request class
   * @param end how it ended
   * @param responseTime the time from its arrival to its end
   */
  public void ended(long arrivedAt, int requestClass, End end, long responseTime) {
    RequestClassMetrics metrics = requestClasses.get(requestClass);
    metrics.ends.merge(end, 1L, Long::sum);
    if (end.isSuccess()) {
      metrics.times.recordValue(
          Math.min(Math.max(1, responseTime), metrics.times.getHighestTrackableValue()));
    }
    if (end == End.IN_TIME) {
      valueServed += metrics.requestClass.value();
      worstWindow.served(arrivedAt, metrics.requestClass.value());
    }
    series.add(arrivedAt, seriesOf(end), 1);
  }

  /** Returns the index of an end in the series; index 0 is the arrivals. */
  static int seriesOf(End end) {
    return 1 + ENDS.indexOf(end);
  }

  /** Ends the run, which closes the remaining windows. */
  public void end() {
    worstWindow.end();
  }

  /**
   * Returns the share of the requested value that was served in the whole run; 0 without requests.
   */
  public double whole() {
    return valueRequested == 0 ? 0 : valueServed / valueRequested;
  }

  /**
   * Returns the share of the requested value that was served in the worst 10 s by arrival, or that
   * of the whole run if no window had enough requests.
   */
  public double worstWindow() {
    return Double.isNaN(worstWindow.worst()) ? whole() : worstWindow.worst();
  }

  /** Returns the start of the worst window, in tenths of a millisecond. */
  public long worstWindowStart() {
    return worstWindow.worstStart();
  }

  /** Returns the share of requests served in time in the worst request class. */
  public double worstRequestClass() {
    return requestClasses.stream()
        .mapToDouble(RequestClassMetrics::served)
        .filter(served -> !Double.isNaN(served))
        .min()
        .orElse(whole());
  }

  public List<RequestClassMetrics> requestClasses() {
    return requestClasses;
  }

  public TimeSeries series() {
    return series;
  }

  public long arrived() {
    return requestClasses.stream().mapToLong(RequestClassMetrics::arrived).sum();
  }

  public long ended(End end) {
    return requestClasses.stream().mapToLong(requestClass -> requestClass.ended(end)).sum();
  }

  /** Returns whether every request that arrived has ended exactly once. */
  public boolean addsUp() {
    long ends = 0;
    for (End end : End.values()) {
      ends += ended(end);
    }
    return ends == arrived();
  }
}
