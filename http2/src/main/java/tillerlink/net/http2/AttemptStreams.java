package tillerlink.net.http2;

import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.net.state.InFlightAttempt;

/** The attempts on one connection, by stream and by attempt. Owned by the event-loop thread. */
final class AttemptStreams {
  private final Map<Integer, AttemptStream> byStreamId = new LinkedHashMap<>();
  private final IdentityHashMap<InFlightAttempt, AttemptStream> byAttempt = new IdentityHashMap<>();

  void add(AttemptStream stream) {
    byStreamId.put(stream.streamId, stream);
    byAttempt.put(stream.inFlight, stream);
  }

  /** Removes a stream; an attempt that was resumed on another stream since is kept. */
  void remove(AttemptStream stream) {
    byStreamId.remove(stream.streamId);
    byAttempt.remove(stream.inFlight, stream);
  }

  /** The attempt on the stream of that id, or null. */
  AttemptStream find(int streamId) {
    return byStreamId.get(streamId);
  }

  /** The stream of an attempt, or null if it is not on this connection. */
  AttemptStream find(InFlightAttempt inFlight) {
    return byAttempt.get(inFlight);
  }

  boolean isEmpty() {
    return byStreamId.isEmpty();
  }

  int size() {
    return byStreamId.size();
  }

  /** A copy, in the order in which the streams were opened. */
  List<AttemptStream> copy() {
    return List.copyOf(byStreamId.values());
  }
}
