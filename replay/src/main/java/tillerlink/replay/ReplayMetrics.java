package tillerlink.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import tillerlink.workload.RequestClassSpec;

/**
 * The metrics of a run: the value served within the latency objective over the value requested, and
 * how requests ended.
 */
public final class ReplayMetrics {
  private static final List<End> ENDS = List.of(End.values());
  private static final double TICKS_PER_MS = 10;
  static final long SECOND = 10_000;
  private static final long WINDOW = 10 * SECOND;
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

    /** A percentile of the milliseconds to the response of successful requests. */
    public double timeMs(double percentile) {
      return times.getTotalCount() == 0
          ? Double.NaN
          : times.getValueAtPercentile(percentile) / TICKS_PER_MS;
    }

    /** The share served within the latency objective; NaN without requests. */
    public double served() {
      return arrived == 0 ? Double.NaN : (double) ended(End.IN_TIME) / arrived;
    }
  }

  private final List<RequestClassMetrics> requestClasses = new ArrayList<>();
  private final WorstWindow worstWindow;

  /** By time of arrival: all requests, then each end. */
  private final TimeSeries series = new TimeSeries(1 + ENDS.size(), SECOND);

  private double valueRequested;
  private double valueServed;

  /** Metrics over these request classes. */
  public ReplayMetrics(List<RequestClassSpec> requestClasses) {
    requestClasses.forEach(
        requestClass -> this.requestClasses.add(new RequestClassMetrics(requestClass)));
    long longest = requestClasses.stream().mapToLong(RequestClassSpec::deadline).max().orElse(0);
    worstWindow = new WorstWindow(WINDOW, 2 * longest, MIN_WINDOW_REQUESTS);
  }

  /** A request has arrived. */
  public void arrived(long time, int requestClass) {
    RequestClassMetrics metrics = requestClasses.get(requestClass);
    metrics.arrived++;
    valueRequested += metrics.requestClass.value();
    worstWindow.requested(time, metrics.requestClass.value());
    series.add(time, 0, 1);
  }

  /**
   * A request has ended.
   *
   * @param took the time from its arrival to its end
   */
  public void ended(long arrivedAt, int requestClass, End end, long took) {
    RequestClassMetrics metrics = requestClasses.get(requestClass);
    metrics.ends.merge(end, 1L, Long::sum);
    if (end.isSuccess()) {
      metrics.times.recordValue(
          Math.min(Math.max(1, took), metrics.times.getHighestTrackableValue()));
    }
    if (end == End.IN_TIME) {
      valueServed += metrics.requestClass.value();
      worstWindow.served(arrivedAt, metrics.requestClass.value());
    }
    series.add(arrivedAt, seriesOf(end), 1);
  }

  /** The index of an end in the series; 0 is the arrivals. */
  static int seriesOf(End end) {
    return 1 + ENDS.indexOf(end);
  }

  /** The run has ended. */
  public void end() {
    worstWindow.end();
  }

  /** The share of the value served in the whole run; 0 without requests. */
  public double whole() {
    return valueRequested == 0 ? 0 : valueServed / valueRequested;
  }

  /** The share in the worst 10 s by arrival; that of the run if none had enough requests. */
  public double worstWindow() {
    return Double.isNaN(worstWindow.worst()) ? whole() : worstWindow.worst();
  }

  public long worstWindowStart() {
    return worstWindow.worstStart();
  }

  /** The share of the worst request class. */
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

  /** Whether every request that arrived has ended, once. */
  public boolean addsUp() {
    long ends = 0;
    for (End end : End.values()) {
      ends += ended(end);
    }
    return ends == arrived();
  }
}
