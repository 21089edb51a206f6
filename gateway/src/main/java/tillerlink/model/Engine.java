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
  public boolean registered;

  public long startedAt;

  /** Below 1 while it is only known from a cached endpoint list. */
  public double trust = 1;

  /** Attempts in flight, oldest first. */
  public final List<Attempt> inFlight = new ArrayList<>();

  public int[] inFlightByClass = new int[0];
  public int threadsInFlight;
  public int healthChecksInFlight;

  /** Table groups of the most recent attempts, latest last. */
  public final ArrayDeque<Integer> recentTableGroups = new ArrayDeque<>();

  public DecayingSum successes;
  public DecayingSum failures;

  /** Threads of attempts that timed out and may run on. */
  public DecayingSum abandonedThreads;

  public DecayingMean pace;
  public SlidingSum workSent;

  /**
   * It is warming up, and has quota for the last request only by this gateway's slow-start slot.
   */
  public boolean usesSlowStartSlot;

  public double concurrencyFactor;
  public long overloadedUntil = Long.MIN_VALUE;

  /** When it last seemed to have restarted. */
  public long restartSeenAt = Long.MIN_VALUE;

  /** When a connection with an attempt was last lost. */
  public long connectionLostAt = Long.MIN_VALUE;

  public long limitReducedAt = Long.MIN_VALUE;
  public long lastResponseAt = Long.MIN_VALUE;
  public long reportedAt = Long.MIN_VALUE;
  public double reportedQueries;

  /** The highest utilization that it reported of its cores and disks, 0 to 1. */
  public double reportedUtilization;

  /** Requests for each core of the class that was placed last, as last measured. */
  public double classLoad;

  /** Threads for each core of all classes, and utilization, as last measured. */
  public double load;

  /** Cores that it seems to have for the class that was placed last. */
  public double spareCores;

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

  /** Forgets what was counted of the previous process. */
  public void resetHistory(double boundAtStart) {
    successes.clear();
    failures.clear();
    abandonedThreads.clear();
    pace.clear();
    recentTableGroups.clear();
    concurrencyFactor = boundAtStart;
    overloadedUntil = Long.MIN_VALUE;
    restartSeenAt = Long.MIN_VALUE;
  }

  private void count(Attempt attempt, int by) {
    inFlightByClass[attempt.request.classIndex] += by;
    threadsInFlight += by * attempt.request.requestClass.config.threadsPerRequest();
    healthChecksInFlight += attempt.healthCheck ? by : 0;
  }
}
