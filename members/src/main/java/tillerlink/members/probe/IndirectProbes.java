package tillerlink.members.probe;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The pending indirect probes that other members requested from this process (SWIM's ping-req).
 * Their number is bounded; further requests are ignored. Times are tenths of a millisecond. This
 * class is confined to the gateway's event loop.
 */
public final class IndirectProbes {
  /** Maximum number of pending requests. */
  public static final int MAX_PENDING = 256;

  /** A number that is never used for a probe. */
  public static final long NO_NUMBER = 0;

  /**
   * A request from another member.
   *
   * @param requester the name of the member that requested the probe
   * @param address the address to send the answer to, host:port
   * @param number the number of the requester's own probe
   * @param target the name of the member to be probed
   * @param deadline when the target is considered not to have answered, in tenths of a millisecond
   */
  public record Request(
      String requester, String address, long number, String target, long deadline) {}

  private final Map<Long, Request> pending = new LinkedHashMap<>();
  private final RandomGenerator random;

  /** Creates an instance without pending requests. */
  public IndirectProbes(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Adds a request, and draws a random number for its probe.
   *
   * @return the number to use for the probe; {@link #NO_NUMBER} if the request is ignored
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
   * Handles an acknowledgement and removes the request that it fulfils.
   *
   * @param number the number of the acknowledged probe
   * @param from the name of the sender
   * @return the fulfilled request; null if none has this number, or if the sender is not its target
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

  /**
   * Returns the earliest deadline, in tenths of a millisecond; {@link Long#MAX_VALUE} if no request
   * is pending.
   */
  public long nextDueAt() {
    long dueAt = Long.MAX_VALUE;
    for (Request request : pending.values()) {
      dueAt = Math.min(dueAt, request.deadline);
    }
    return dueAt;
  }

  /** Drops all requests. This must be called after a pause of this process. */
  public void clear() {
    pending.clear();
  }
}
