package tillerlink.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * One engine as this gateway knows it: the endpoint list's entry, and what the policy counts. Times
 * are tenths of a millisecond; used by the event loop alone.
 */
public final class Engine {
  /** What the endpoint list says of an engine's process. */
  public enum Status {
    /** It takes new attempts. */
    READY,
    /** It ends what it has and takes nothing new. */
    DRAINING,
    /** It is not on the list any more. */
    GONE
  }

  /** The handle of the code that runs the policy, which never looks at it. */
  public final Object tag;

  public int kind;
  public int zone;
  public int cell;
  public Engine.Status status = Engine.Status.GONE;

  /**
   * The policy knows it. Stored here, since looking up each of a thousand engines in a list of a
   * thousand is slow.
   */
  private boolean registered;

  public long startedAt;

  /** Below 1 while it is only known from a cached endpoint list. */
  public double trust = 1;

  /** Attempts in flight, oldest first. */
  public final List<Attempt> inFlight = new ArrayList<>();

  private int[] inFlightByClass = new int[0];
  private int threadsInFlight;
  private int healthChecksInFlight;

  /** Table groups of the most recent attempts, latest last. */
  private final ArrayDeque<Integer> recentTableGroups = new ArrayDeque<>();

  private DecayingSum successes;
  private DecayingSum failures;

  /** Threads of attempts that timed out and may run on. */
  private DecayingSum abandonedThreads;

  private DecayingMean pace;
  private SlidingSum workSent;

  /**
   * It is warming up, and has quota for the last request only by this gateway's slow-start slot.
   */
  private boolean usesSlowStartSlot;

  private double concurrencyFactor;
  private long overloadedUntil = Long.MIN_VALUE;

  /** When it last seemed to have restarted. */
  private long restartSeenAt = Long.MIN_VALUE;

  /** When a connection with an attempt was last lost. */
  private long connectionLostAt = Long.MIN_VALUE;

  private long limitReducedAt = Long.MIN_VALUE;
  private long lastResponseAt = Long.MIN_VALUE;
  private long reportedAt = Long.MIN_VALUE;
  private double reportedQueries;

  /** The highest utilization that it reported of its cores and disks, 0 to 1. */
  private double reportedUtilization;

  /** Requests for each core of the class that was placed last, as last measured. */
  private double classLoad;

  /** Threads for each core of all classes, and utilization, as last measured. */
  private double load;

  /** Cores that it seems to have for the class that was placed last. */
  private double spareCores;

  /** Creates an engine that is not on the list yet. */
  public Engine(Object tag) {
    this.tag = tag;
  }

  /**
   * Counts an attempt that is sent here.
   *
   * @param groupsKept number of recent table groups that are kept
   */
  public void attemptStarted(Attempt attempt, int groupsKept) {
    count(attempt, 1);
    inFlight.add(attempt);
    recentTableGroups.remove((Integer) attempt.request.tableGroup);
    recentTableGroups.addLast(attempt.request.tableGroup);
    if (recentTableGroups.size() > groupsKept) {
      recentTableGroups.removeFirst();
    }
  }

  /** Counts an attempt that ended. */
  public void attemptEnded(Attempt attempt) {
    count(attempt, -1);
    inFlight.remove(attempt);
  }

  /** Requests of a class that are in flight here. */
  public int inFlightOfClass(int classIndex) {
    return inFlightByClass[classIndex];
  }

  /** Whether one of the most recent attempts used the table group. */
  public boolean hasRecentTableGroup(int tableGroup) {
    return recentTableGroups.contains(tableGroup);
  }

  /** Whether an attempt in flight here loads the table group. */
  public boolean loadsTableGroup(int tableGroup) {
    return inFlight.stream()
        .anyMatch(
            attempt ->
                attempt.request.tableGroup == tableGroup
                    && attempt.request.requestClass.config.loadsTableGroup());
  }

  /** Threads in flight of the class that has the most. */
  public int threadsOfLargestClass() {
    return inFlight.stream()
        .mapToInt(
            attempt ->
                inFlightByClass[attempt.request.classIndex]
                    * attempt.request.requestClass.config.threadsPerRequest())
        .max()
        .orElse(0);
  }

  /**
   * Begins to count when the engine becomes known to the policy.
   *
   * @param requestClasses number of request classes
   * @param recordTime age at which successes and failures have faded to 1/e
   * @param paceTime the same for the pace
   * @param sentWork an empty sum of the work that is sent here
   * @param initialFactor the concurrency factor to begin with
   */
  public void startCounting(
      int requestClasses,
      double recordTime,
      double paceTime,
      SlidingSum sentWork,
      double initialFactor) {
    inFlightByClass = new int[requestClasses];
    successes = new DecayingSum(recordTime);
    failures = new DecayingSum(recordTime);
    abandonedThreads = new DecayingSum(recordTime);
    pace = new DecayingMean(paceTime, 1, 2);
    workSent = sentWork;
    concurrencyFactor = initialFactor;
  }

  /**
   * Forgets what was counted of the previous process.
   *
   * @param initialFactor the concurrency factor to begin with
   */
  public void resetHistory(double initialFactor) {
    successes.clear();
    failures.clear();
    abandonedThreads.clear();
    pace.clear();
    recentTableGroups.clear();
    concurrencyFactor = initialFactor;
    overloadedUntil = Long.MIN_VALUE;
    restartSeenAt = Long.MIN_VALUE;
  }

  private void count(Attempt attempt, int by) {
    inFlightByClass[attempt.request.classIndex] += by;
    threadsInFlight += by * attempt.request.requestClass.config.threadsPerRequest();
    healthChecksInFlight += attempt.healthCheck ? by : 0;
  }

  public boolean isRegistered() {
    return registered;
  }

  public void setRegistered(boolean registered) {
    this.registered = registered;
  }

  public int threadsInFlight() {
    return threadsInFlight;
  }

  public int healthChecksInFlight() {
    return healthChecksInFlight;
  }

  public DecayingSum successes() {
    return successes;
  }

  public DecayingSum failures() {
    return failures;
  }

  public DecayingSum abandonedThreads() {
    return abandonedThreads;
  }

  public DecayingMean pace() {
    return pace;
  }

  public SlidingSum workSent() {
    return workSent;
  }

  public boolean usesSlowStartSlot() {
    return usesSlowStartSlot;
  }

  public void setUsesSlowStartSlot(boolean usesSlowStartSlot) {
    this.usesSlowStartSlot = usesSlowStartSlot;
  }

  public double concurrencyFactor() {
    return concurrencyFactor;
  }

  public void setConcurrencyFactor(double concurrencyFactor) {
    this.concurrencyFactor = concurrencyFactor;
  }

  public long overloadedUntil() {
    return overloadedUntil;
  }

  public void setOverloadedUntil(long overloadedUntil) {
    this.overloadedUntil = overloadedUntil;
  }

  public long restartSeenAt() {
    return restartSeenAt;
  }

  public void setRestartSeenAt(long restartSeenAt) {
    this.restartSeenAt = restartSeenAt;
  }

  public long connectionLostAt() {
    return connectionLostAt;
  }

  public void setConnectionLostAt(long connectionLostAt) {
    this.connectionLostAt = connectionLostAt;
  }

  public long limitReducedAt() {
    return limitReducedAt;
  }

  public void setLimitReducedAt(long limitReducedAt) {
    this.limitReducedAt = limitReducedAt;
  }

  public long lastResponseAt() {
    return lastResponseAt;
  }

  public void setLastResponseAt(long lastResponseAt) {
    this.lastResponseAt = lastResponseAt;
  }

  public long reportedAt() {
    return reportedAt;
  }

  public void setReportedAt(long reportedAt) {
    this.reportedAt = reportedAt;
  }

  public double reportedQueries() {
    return reportedQueries;
  }

  public void setReportedQueries(double reportedQueries) {
    this.reportedQueries = reportedQueries;
  }

  public double reportedUtilization() {
    return reportedUtilization;
  }

  public void setReportedUtilization(double reportedUtilization) {
    this.reportedUtilization = reportedUtilization;
  }

  public double classLoad() {
    return classLoad;
  }

  public void setClassLoad(double classLoad) {
    this.classLoad = classLoad;
  }

  public double load() {
    return load;
  }

  public void setLoad(double load) {
    this.load = load;
  }

  public double spareCores() {
    return spareCores;
  }

  public void setSpareCores(double spareCores) {
    this.spareCores = spareCores;
  }
}
