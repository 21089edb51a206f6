package tillerlink.model;

import java.util.ArrayDeque;

/** A class of requests: its configuration, its queue and what was measured of it. */
public final class RequestClass {
  public final int index;
  public final RequestClassConfig config;

  /** Queued requests, first in first out. */
  public final ArrayDeque<Request> queue = new ArrayDeque<>();

  /** True work over estimate. */
  public final DecayingMean workBias;

  /** True memory over estimate. */
  public final DecayingMean memoryBias;

  /** Work of a request. */
  public final DecayingMean work;

  /** Time taken over the time that the attempt would take alone. */
  public final DecayingMean pace;

  /** The lowest mean pace seen; 0 while too little was seen. */
  private double bestPace;

  /** Work that was asked for recently. */
  private DecayingSum offeredWork;

  /** Cores of the ready engines that it may run on, as of the last survey. */
  private double eligibleCores;

  /** Creates a request class with an empty queue. */
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

  /** The best pace seen, or that of the estimates while too little was seen. */
  public double bestPaceOrDefault() {
    return bestPace == 0 ? 1 : bestPace;
  }

  /** Removes the ended requests at the front, and returns the first of the others, or null. */
  public Request firstQueued() {
    while (!queue.isEmpty() && queue.peekFirst().outcome != null) {
      queue.pollFirst().setQueued(false);
    }
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
