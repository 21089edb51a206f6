package tillerlink.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of one engine in this gateway: its entry in the endpoint list, and the counts and
 * measurements of the policy. Times are tenths of a millisecond. Confined to the event-loop thread.
 */
public final class Engine {
  /** The status of an engine's process according to the endpoint list. */
  public enum Status {
    /** The engine accepts new attempts. */
    READY,
    /** The engine finishes its attempts in flight and accepts no new ones. */
    DRAINING,
    /** The engine is no longer on the endpoint list. */
    GONE
  }

  /** An opaque handle of the code that runs the policy. The policy never reads it. */
  public final Object tag;

  public int kind;
  public int zone;
  public int cell;
  public Engine.Status status = Engine.Status.GONE;

  /**
   * Whether the policy's engine registry contains the engine. Stored here because looking up each
   * of a thousand engines in a list of a thousand is slow.
   */
  private boolean registered;

  public long startedAt;

  /** The trust in the entry, 0 to 1: below 1 while it is known from the endpoint cache only. */
  public double trust = 1;

  /** The attempts in flight on the engine, oldest first. */
  public final List<Attempt> inFlight = new ArrayList<>();

  private int[] inFlightByClass = new int[0];
  private int threadsInFlight;
  private int healthChecksInFlight;

  /** The distinct table groups of the most recent attempts, the latest last. */
  private final ArrayDeque<Integer> recentTableGroups = new ArrayDeque<>();

  private DecayingSum successes;
  private DecayingSum failures;

  /** Threads of attempts that timed out and may still be running. */
  private DecayingSum abandonedThreads;

  private DecayingMean pace;
  private SlidingSum workSent;

  /**
   * Whether the engine is warming up and the request that was checked last exceeds this gateway's
   * remaining quota there, so that only the gateway's slow-start slot can admit it.
   */
  private boolean usesSlowStartSlot;

  private double concurrencyFactor;
  private long overloadedUntil = Long.MIN_VALUE;

  /** The last time at which the engine appeared to have restarted. */
  private long restartSeenAt = Long.MIN_VALUE;

  /** The last time at which a connection with an attempt in flight was lost. */
  private long connectionLostAt = Long.MIN_VALUE;

  private long limitReducedAt = Long.MIN_VALUE;
  private long lastResponseAt = Long.MIN_VALUE;
  private long reportedAt = Long.MIN_VALUE;
  private double reportedQueries;

  /** The highest utilization of cores or disks in the last load report, 0 to 1. */
  private double reportedUtilization;

  /** Requests per core of the request class that was placed last, as last measured. */
  private double classLoad;

  /** Threads per core of all request classes plus the utilization, as last measured. */
  private double load;

  /** The estimated cores available to the request class that was placed last. */
  private double spareCores;

  /**
   * Creates an engine that is not on the endpoint list yet.
   *
   * @param tag an opaque handle of the code that runs the policy
   */
  public Engine(Object tag) {
    this.tag = tag;
  }

  /**
   * Counts an attempt that is placed on this engine.
   *
   * @param attempt the attempt
   * @param maxTableGroups the number of recent table groups to remember
   */
  public void attemptStarted(Attempt attempt, int maxTableGroups) {
    count(attempt, 1);
    inFlight.add(attempt);
    recentTableGroups.remove((Integer) attempt.request.tableGroup);
    recentTableGroups.addLast(attempt.request.tableGroup);
    if (recentTableGroups.size() > maxTableGroups) {
      recentTableGroups.removeFirst();
    }
  }

  /** Removes an attempt that ended from the counts. */
  public void attemptEnded(Attempt attempt) {
    count(attempt, -1);
    inFlight.remove(attempt);
  }

  /** Returns the number of attempts of a request class in flight on this engine. */
  public int inFlightOfClass(int classIndex) {
    return inFlightByClass[classIndex];
  }

  /** Returns whether one of the most recent attempts used the table group. */
  public boolean hasRecentTableGroup(int tableGroup) {
    return recentTableGroups.contains(tableGroup);
  }

  /** Returns whether an attempt in flight on this engine loads the table group. */
  public boolean loadsTableGroup(int tableGroup) {
    return inFlight.stream()
        .anyMatch(
            attempt ->
                attempt.request.tableGroup == tableGroup
                    && attempt.request.requestClass.config.loadsTableGroup());
  }

  /** Returns the threads in flight of the request class that has the most. */
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
   * Initializes the counts when the engine is added to the policy's registry.
   *
   * @param requestClasses the number of request classes
   * @param recordTimeConstant the age at which successes and failures have decayed to 1/e, in
   *     tenths of a millisecond
   * @param paceTimeConstant the same for the pace
   * @param sentWork an empty sum for the work that is sent to this engine
   * @param initialFactor the initial concurrency factor
   */
  public void startCounting(
      int requestClasses,
      double recordTimeConstant,
      double paceTimeConstant,
      SlidingSum sentWork,
      double initialFactor) {
    inFlightByClass = new int[requestClasses];
    successes = new DecayingSum(recordTimeConstant);
    failures = new DecayingSum(recordTimeConstant);
    abandonedThreads = new DecayingSum(recordTimeConstant);
    pace = new DecayingMean(paceTimeConstant, 1, 2);
    workSent = sentWork;
    concurrencyFactor = initialFactor;
  }

  /**
   * Clears the history of the engine's previous process.
   *
   * @param initialFactor the initial concurrency factor
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

  private void count(Attempt attempt, int delta) {
    inFlightByClass[attempt.request.classIndex] += delta;
    threadsInFlight += delta * attempt.request.requestClass.config.threadsPerRequest();
    healthChecksInFlight += attempt.healthCheck ? delta : 0;
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
