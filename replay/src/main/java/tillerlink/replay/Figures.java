package tillerlink.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import tillerlink.workload.RequestClassSpec;

/**
 * What a run was worth: value answered within the latency objective over value asked for, and what
 * became of the rest.
 */
public final class Figures {
  static final long SECOND = 10_000;
  private static final long WINDOW = 10 * SECOND;
  private static final long WINDOW_LEAST = 20;
  private static final int DIGITS = 3;

  /** One request class's share. */
  public static final class OfRequestClass {
    private final RequestClassSpec requestClass;
    private final Map<End, Long> ends = new EnumMap<>(End.class);
    private final Histogram times;
    private long arrived;

    OfRequestClass(RequestClassSpec requestClass) {
      this.requestClass = requestClass;
      times = new Histogram(1, Math.max(2, 4 * requestClass.deadline()), DIGITS);
    }

    public RequestClassSpec requestClass() {
      return requestClass;
    }

    public long arrived() {
      return arrived;
    }

    public long ended(End how) {
      return ends.getOrDefault(how, 0L);
    }

    /** Milliseconds to the answer of those that were succeeded. */
    public double timeMs(double percentile) {
      return times.getTotalCount() == 0
          ? Double.NaN
          : times.getValueAtPercentile(percentile) / 10.0;
    }

    /** NaN if nothing was asked for. */
    public double served() {
      return arrived == 0 ? Double.NaN : (double) ended(End.IN_TIME) / arrived;
    }
  }

  private final List<OfRequestClass> requestClasses = new ArrayList<>();
  private final Windows windows;

  /** By second of arrival: all that arrived, then each end. */
  private final Series series = new Series(1 + End.values().length, SECOND);

  private double asked;
  private double got;

  public Figures(List<RequestClassSpec> requestClasses) {
    requestClasses.forEach(
        requestClass -> this.requestClasses.add(new OfRequestClass(requestClass)));
    long longest = requestClasses.stream().mapToLong(RequestClassSpec::deadline).max().orElse(0);
    windows = new Windows(WINDOW, 2 * longest, WINDOW_LEAST);
  }

  public void arrived(long at, int requestClass) {
    OfRequestClass of = requestClasses.get(requestClass);
    of.arrived++;
    asked += of.requestClass.value();
    windows.asked(at, of.requestClass.value());
    series.add(at, 0, 1);
  }

  /**
   * @param took from when the client asked to when it had its answer
   */
  public void ended(long askedAt, int requestClass, End how, long took) {
    OfRequestClass of = requestClasses.get(requestClass);
    of.ends.merge(how, 1L, Long::sum);
    if (how.fulfilled()) {
      of.times.recordValue(Math.min(Math.max(1, took), of.times.getHighestTrackableValue()));
    }
    if (how == End.IN_TIME) {
      got += of.requestClass.value();
      windows.got(askedAt, of.requestClass.value());
    }
    series.add(askedAt, 1 + how.ordinal(), 1);
  }

  public void end() {
    windows.end();
  }

  /** The whole run's figure; 0 if nothing was asked for. */
  public double whole() {
    return asked == 0 ? 0 : got / asked;
  }

  /** The worst 10 s by arrival; the whole run's if none had enough requests to tell. */
  public double worstWindow() {
    return Double.isNaN(windows.worst()) ? whole() : windows.worst();
  }

  public long worstWindowFrom() {
    return windows.worstFrom();
  }

  public double worstRequestClass() {
    return requestClasses.stream()
        .mapToDouble(OfRequestClass::served)
        .filter(served -> !Double.isNaN(served))
        .min()
        .orElse(whole());
  }

  public List<OfRequestClass> requestClasses() {
    return requestClasses;
  }

  public Series series() {
    return series;
  }

  public long arrived() {
    return requestClasses.stream().mapToLong(OfRequestClass::arrived).sum();
  }

  public long ended(End how) {
    return requestClasses.stream().mapToLong(requestClass -> requestClass.ended(how)).sum();
  }

  /** Whether every request that arrived has ended, once. */
  public boolean addsUp() {
    long ends = 0;
    for (End how : End.values()) {
      ends += ended(how);
    }
    return ends == arrived();
  }
}
