package tillerlink.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** One engine as this gateway knows it: what it was told, and what it counted itself. */
public final class Engine {
  /** What the list says of an engine's process. */
  public enum Status {
    READY,
    DRAINING,
    GONE
  }

  /** The door's own handle; the module never looks at it. */
  public final Object tag;

  public int kind;
  public int zone;
  public int cell;
  public Engine.Status status = Engine.Status.GONE;

  /**
   * The module counts with it; kept here, since a look-up in a list of a thousand for each of a
   * thousand costs.
   */
  public boolean registered;

  public long startedAt;

  /** Below 1 while it is only remembered from before this gateway's start. */
  public double trust = 1;

  /** Attempts that are out, oldest first. */
  public final List<Attempt> inFlight = new ArrayList<>();

  public int[] inFlightByClass = new int[0];
  public int threadsInFlight;
  public int healthChecksInFlight;

  /** Table groups sent here lately, latest last. */
  public final ArrayDeque<Integer> recentTableGroups = new ArrayDeque<>();

  public DecayingSum successes;
  public DecayingSum failures;

  /** Threads of attempts that timed out and may run on. */
  public DecayingSum abandonedThreads;

  public DecayingMean pace;
  public SlidingSum workSent;

  /** Cold, and room there for the request last weighed only since it is this gateway's turn. */
  public boolean usesSlowStartSlot;

  public double concurrencyFactor;
  public long overloadedUntil = Long.MIN_VALUE;

  /** When it last dropped a connection with an attempt on it. */
  public long restartSeenAt = Long.MIN_VALUE;

  /** When an attempt was last cut off here. */
  public long connectionLostAt = Long.MIN_VALUE;

  public long limitReducedAt = Long.MIN_VALUE;
  public long lastResponseAt = Long.MIN_VALUE;
  public long reportedAt = Long.MIN_VALUE;
  public double reportedQueries;

  /** The busiest of what it said of its cores and disks, 1 being all. */
  public double reportedUtilization;

  /** Queries of the class in hand a core, and threads of all a core, as last weighed. */
  public double classLoad;

  public double load;

  /** Cores that it seems to have for the class last weighed. */
  public double spareCores;

  public Engine(Object tag) {
    this.tag = tag;
  }

  /** Counts an attempt that goes out here; of the table groups, only the latest are remembered. */
  public void attemptStarted(Attempt attempt, int groupsKept) {
    count(attempt, 1);
    inFlight.add(attempt);
    recentTableGroups.remove((Integer) attempt.request.tableGroup);
    recentTableGroups.addLast(attempt.request.tableGroup);
    if (recentTableGroups.size() > groupsKept) {
      recentTableGroups.removeFirst();
    }
  }

  public void attemptEnded(Attempt attempt) {
    count(attempt, -1);
    inFlight.remove(attempt);
  }

  /** Whether a load that is out here holds the table group. */
  public boolean loadsTableGroup(int tableGroup) {
    return inFlight.stream()
        .anyMatch(
            attempt ->
                attempt.request.tableGroup == tableGroup
                    && attempt.request.requestClass.config.loadsTableGroup());
  }

  /** The threads out of the class that has most out. */
  public int threadsOfLargestClass() {
    return inFlight.stream()
        .mapToInt(
            attempt ->
                inFlightByClass[attempt.request.classIndex]
                    * attempt.request.requestClass.config.threadsPerRequest())
        .max()
        .orElse(0);
  }

  /** A process that started anew keeps nothing of its predecessor's record. */
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
