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
  public Engine.Status standing = Engine.Status.GONE;

  /**
   * The module counts with it; kept here, since a look-up in a list of a thousand for each of a
   * thousand costs.
   */
  public boolean known;

  public long startedAt;

  /** Below 1 while it is only remembered from before this gateway's start. */
  public double trust = 1;

  /** Attempts that are out, oldest first. */
  public final List<Attempt> out = new ArrayList<>();

  public int[] inFlightByClass = new int[0];
  public int threadsOut;
  public int trialsOut;

  /** Table groups sent here lately, latest last. */
  public final ArrayDeque<Integer> groups = new ArrayDeque<>();

  public DecayingSum successes;
  public DecayingSum failures;

  /** Threads of attempts that timed out and may run on. */
  public DecayingSum threadsLost;

  public DecayingMean pace;
  public SlidingSum workSent;

  /** Cold, and room there for the request last weighed only since it is this gateway's turn. */
  public boolean byTurn;

  public double boundFactor;
  public long pressedUntil = Long.MIN_VALUE;

  /** When it last dropped a connection with an attempt on it. */
  public long fellAt = Long.MIN_VALUE;

  /** When an attempt was last cut off here. */
  public long severedAt = Long.MIN_VALUE;

  public long boundCutAt = Long.MIN_VALUE;
  public long heardAt = Long.MIN_VALUE;
  public long reportedAt = Long.MIN_VALUE;
  public double reportedQueries;

  /** The busiest of what it said of its cores and disks, 1 being all. */
  public double reportedBusy;

  /** Queries of the class in hand a core, and threads of all a core, as last weighed. */
  public double classLoad;

  public double load;

  /** Cores that it seems to have for the class last weighed. */
  public double spareCores;

  public Engine(Object tag) {
    this.tag = tag;
  }

  /** Counts an attempt that goes out here; of the table groups, only the latest are remembered. */
  public void enter(Attempt attempt, int groupsKept) {
    count(attempt, 1);
    out.add(attempt);
    groups.remove((Integer) attempt.request.tableGroup);
    groups.addLast(attempt.request.tableGroup);
    if (groups.size() > groupsKept) {
      groups.removeFirst();
    }
  }

  public void leave(Attempt attempt) {
    count(attempt, -1);
    out.remove(attempt);
  }

  /** Whether a load that is out here holds the table group. */
  public boolean holdsGroup(int tableGroup) {
    return out.stream()
        .anyMatch(
            attempt ->
                attempt.request.tableGroup == tableGroup
                    && attempt.request.requestClass.terms.holdsGroup());
  }

  /** The threads out of the class that has most out. */
  public int widest() {
    return out.stream()
        .mapToInt(
            attempt ->
                inFlightByClass[attempt.request.classIndex]
                    * attempt.request.requestClass.terms.width())
        .max()
        .orElse(0);
  }

  /** A process that started anew keeps nothing of its predecessor's record. */
  public void forget(double boundAtStart) {
    successes.clear();
    failures.clear();
    threadsLost.clear();
    pace.clear();
    groups.clear();
    boundFactor = boundAtStart;
    pressedUntil = Long.MIN_VALUE;
    fellAt = Long.MIN_VALUE;
  }

  private void count(Attempt attempt, int by) {
    inFlightByClass[attempt.request.classIndex] += by;
    threadsOut += by * attempt.request.requestClass.terms.width();
    trialsOut += attempt.trial ? by : 0;
  }
}
