package tillerlink.members.probe;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The indirect probes that other members requested of this process (SWIM's ping-req). Bounded:
 * requests beyond the bound are ignored. Times are tenths of a millisecond; owned by the gateway's
 * event loop.
 */
public final class IndirectProbes {
  /** How many are pending at once. */
  public static final int MAX_PENDING = 256;

  /** No probe has this number. */
  public static final long NO_NUMBER = 0;

  /**
   * A request of another member.
   *
   * @param requester the member that requested the probe
   * @param address where the answer goes
   * @param number the number of the requester's own probe
   * @param target the member to be probed
   * @param deadline when the target counts as silent
   */
  public record Request(
      String requester, String address, long number, String target, long deadline) {}

  private final Map<Long, Request> pending = new LinkedHashMap<>();
  private final RandomGenerator random;

  /** Without any request. */
  public IndirectProbes(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Accepts a request.
   *
   * @return the number to probe with; {@link #NO_NUMBER} if the request is ignored
   */
  public long add(Request request) {
    if (pending.size() >= MAX_PENDING) {
      return NO_NUMBER;
    }
    long number = random.nextLong();
    if (number == NO_NUMBER || pending.containsKey(number)) {
      return NO_NUMBER;
    }
    pending.put(number, request);
    return number;
  }

  /**
   * Handles an acknowledgement.
   *
   * @return the request that it fulfils; null if there is none, or if it is for another target
   */
  public Request onAck(long number, String from) {
    Request request = pending.get(number);
    return request != null && request.target.equals(from) ? pending.remove(number) : null;
  }

  /** Removes and returns the requests whose deadline has passed, the oldest first. */
  public List<Request> removeExpired(long now) {
    List<Request> expired = new ArrayList<>();
    pending.values().removeIf(request -> request.deadline <= now && expired.add(request));
    return expired;
  }

  /** The earliest deadline; {@link Long#MAX_VALUE} if nothing is pending. */
  public long nextDueAt() {
    long dueAt = Long.MAX_VALUE;
    for (Request request : pending.values()) {
      dueAt = Math.min(dueAt, request.deadline);
    }
    return dueAt;
  }

  /** Drops all requests; to be called after a pause of this process. */
  public void clear() {
    pending.clear();
  }
}
