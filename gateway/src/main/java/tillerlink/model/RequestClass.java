package tillerlink.model;

import java.util.ArrayDeque;

/** A kind of request: its terms, its queue and what was measured of it. */
public final class RequestClass {
  public final int index;
  public final RequestClassConfig config;

  /** Held requests, first come first. */
  public final ArrayDeque<Request> queue = new ArrayDeque<>();

  /** True work over estimate. */
  public final DecayingMean workBias;

  /** True memory over estimate. */
  public final DecayingMean memoryBias;

  /** Work of a request. */
  public final DecayingMean work;

  /** Time taken over the time alone. */
  public final DecayingMean pace;

  public double bestPace;

  /** Work asked for of late. */
  public DecayingSum offeredWork;

  /** Cores of the ready engines open to it, as last summed up. */
  public double eligibleCores;

  public RequestClass(
      int index,
      RequestClassConfig terms,
      DecayingMean bias,
      DecayingMean memoryBias,
      DecayingMean work,
      DecayingMean pace) {
    this.index = index;
    this.config = terms;
    this.workBias = bias;
    this.memoryBias = memoryBias;
    this.work = work;
    this.pace = pace;
  }

  /** The best pace seen, or that of the estimates while too little was seen. */
  public double bestPaceOrDefault() {
    return bestPace == 0 ? 1 : bestPace;
  }

  /** The first held request that is still owed an answer, or null. */
  public Request firstQueued() {
    while (!queue.isEmpty() && queue.peekFirst().outcome != null) {
      queue.pollFirst().queued = false;
    }
    return queue.peekFirst();
  }
}
