package tillerlink.net.http2;

import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.net.state.InFlightAttempt;

/**
 * The attempts on one connection, indexed by stream id and by attempt. Owned by the event-loop
 * thread.
 */
final class AttemptStreams {
  private final Map<Integer, AttemptStream> byStreamId = new LinkedHashMap<>();
  private final IdentityHashMap<InFlightAttempt, AttemptStream> byAttempt = new IdentityHashMap<>();

  void add(AttemptStream stream) {
    byStreamId.put(stream.streamId, stream);
    byAttempt.put(stream.inFlight, stream);
  }

  /**
   * Removes a stream. The attempt's own entry stays if it has since been resumed on another stream.
   */
  void remove(AttemptStream stream) {
    byStreamId.remove(stream.streamId);
    byAttempt.remove(stream.inFlight, stream);
  }

  /**
   * Returns the attempt on a stream.
   *
   * @return null if no attempt is on a stream with that id
   */
  AttemptStream find(int streamId) {
    return byStreamId.get(streamId);
  }

  /**
   * Returns the stream of an attempt.
   *
   * @return null if the attempt is not on this connection
   */
  AttemptStream find(InFlightAttempt inFlight) {
    return byAttempt.get(inFlight);
  }

  boolean isEmpty() {
    return byStreamId.isEmpty();
  }

  int size() {
    return byStreamId.size();
  }

  /** Returns a copy of the streams, in the order in which they were opened. */
  List<AttemptStream> copy() {
    return List.copyOf(byStreamId.values());
  }
}
