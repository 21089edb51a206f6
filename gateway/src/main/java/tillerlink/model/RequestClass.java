package tillerlink.model;

import java.util.ArrayDeque;

/**
 * A request class: its configuration, its queue and its measurements. A pace is the duration of an
 * attempt divided by the duration that it would have alone.
 */
public final class RequestClass {
  public final int index;
  public final RequestClassConfig config;

  /** The queued requests, first in, first out. */
  public final ArrayDeque<Request> queue = new ArrayDeque<>();

  /** The mean ratio of measured to estimated work. */
  public final DecayingMean workBias;

  /** The mean ratio of measured to estimated memory. */
  public final DecayingMean memoryBias;

  /** The mean work of a request, in tenths of a millisecond. */
  public final DecayingMean work;

  /** The mean pace of its attempts. */
  public final DecayingMean pace;

  /** The lowest mean pace measured so far; 0 while there are too few measurements. */
  private double bestPace;

  /** The work of the requests that arrived recently. */
  private DecayingSum offeredWork;

  /** The cores of the ready engines that the class may run on, as of the last fleet survey. */
  private double eligibleCores;

  /**
   * Creates a request class with an empty queue.
   *
   * @param index the index of the request class in the settings
   * @param config the configuration
   * @param workBias the ratio of measured to estimated work
   * @param memoryBias the ratio of measured to estimated memory
   * @param work the work of a request, in tenths of a millisecond
   * @param pace the pace of an attempt
   */
  public RequestClass(
      int index,
      RequestClassConfig config,
      DecayingMean workBias,
      DecayingMean memoryBias,
      DecayingMean work,
      DecayingMean pace) {
    this.index = index;
    this.config = config;
    this.workBias = workBias;
    this.memoryBias = memoryBias;
    this.work = work;
    this.pace = pace;
  }

  /** Returns the best pace measured so far, or 1 while there are too few measurements. */
  public double bestPaceOrDefault() {
    return bestPace == 0 ? 1 : bestPace;
  }

  /** Returns the first queued request, or null if there is none. */
  public Request firstQueued() {
    return queue.peekFirst();
  }

  public double bestPace() {
    return bestPace;
  }

  public void setBestPace(double bestPace) {
    this.bestPace = bestPace;
  }

  public DecayingSum offeredWork() {
    return offeredWork;
  }

  public void setOfferedWork(DecayingSum offeredWork) {
    this.offeredWork = offeredWork;
  }

  public double eligibleCores() {
    return eligibleCores;
  }

  public void setEligibleCores(double eligibleCores) {
    this.eligibleCores = eligibleCores;
  }
}
