package tillerlink.net.http2;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The streams of one connection: those that are open, the ids given out, the latest that ended. */
final class StreamTable {
  private static final int FIRST_ID = 1;
  private static final int LAST_ID = Integer.MAX_VALUE - 2;
  private static final int REMEMBERED_ENDED_STREAMS = 64;

  private final Map<Integer, Http2Stream> open = new LinkedHashMap<>();

  /** The latest streams that the peer ended: a further frame on one of them is an error. */
  private final ArrayDeque<Integer> ended = new ArrayDeque<>();

  private int nextId = FIRST_ID;

  /** How many open streams have an unsent part of their body. */
  private int unsentBodies;

  /**
   * Opens a stream under the next id.
   *
   * @param body the request's body; empty if it has none
   */
  Http2Stream open(byte[] body, long sendWindow) {
    boolean hasBody = body.length > 0;
    Http2Stream stream = new Http2Stream(nextId, hasBody ? body : null, sendWindow);
    nextId += 2;
    open.put(stream.id(), stream);
    if (hasBody) {
      unsentBodies++;
    }
    return stream;
  }

  /** The open stream of that id, or null. */
  Http2Stream find(int id) {
    return open.get(id);
  }

  /** The open streams, in the order they were opened. */
  Collection<Http2Stream> all() {
    return open.values();
  }

  /** The open streams above an id, as a copy. */
  List<Http2Stream> above(int lastId) {
    return open.values().stream().filter(stream -> stream.id() > lastId).toList();
  }

  int size() {
    return open.size();
  }

  /** Removes a stream that was reset by either side, with what it had not sent. */
  void remove(Http2Stream stream) {
    open.remove(stream.id());
    if (stream.hasUnsentBody()) {
      stream.dropBody();
      unsentBodies--;
    }
  }

  /** Removes a stream that the peer ended. */
  void removeEnded(Http2Stream stream) {
    remove(stream);
    ended.add(stream.id());
    if (ended.size() > REMEMBERED_ENDED_STREAMS) {
      ended.poll();
    }
  }

  /** Whether the peer ended that stream, as far as that is remembered. */
  boolean hasEnded(int id) {
    return ended.contains(id);
  }

  /** Whether that id was never opened here. */
  boolean isIdle(int id) {
    return id >= nextId || id % 2 == 0;
  }

  /** Whether no id is left for a further stream. */
  boolean isExhausted() {
    return nextId >= LAST_ID;
  }

  /** Whether any open stream has an unsent part of its body. */
  boolean hasUnsentBodies() {
    return unsentBodies > 0;
  }

  /** Counts a body that was sent to its end. */
  void bodySent() {
    unsentBodies--;
  }
}
