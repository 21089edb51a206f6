package tillerlink.net.http2;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The open streams of a connection, the next stream id, and the streams that ended recently. */
final class StreamTable {
  private static final int FIRST_ID = 1;
  private static final int LAST_ID = Integer.MAX_VALUE - 2;
  private static final int REMEMBERED_ENDED_STREAMS = 64;

  private final Map<Integer, Http2Stream> open = new LinkedHashMap<>();

  /**
   * The ids of the streams that the peer ended most recently, because a further frame on one of
   * them is a connection error.
   */
  private final ArrayDeque<Integer> ended = new ArrayDeque<>();

  private int nextId = FIRST_ID;

  /** The number of open streams whose body was not sent to its end. */
  private int unsentBodies;

  /**
   * Opens a stream under the next id.
   *
   * @param body the request's body; empty if it has none
   * @param sendWindow the initial send window of the stream in bytes
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

  /**
   * Returns the open stream with an id.
   *
   * @return null if no open stream has that id
   */
  Http2Stream find(int id) {
    return open.get(id);
  }

  /** Returns the open streams in the order in which they were opened. */
  Collection<Http2Stream> all() {
    return open.values();
  }

  /** Returns a copy of the open streams with ids above a given one. */
  List<Http2Stream> above(int lastId) {
    return open.values().stream().filter(stream -> stream.id() > lastId).toList();
  }

  int size() {
    return open.size();
  }

  /** Removes a stream that was reset by either side, and discards the unsent part of its body. */
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

  /** Returns true if the stream is among those that the peer ended most recently. */
  boolean hasEnded(int id) {
    return ended.contains(id);
  }

  /** Returns true if this side never opened a stream with that id. */
  boolean isIdle(int id) {
    return id >= nextId || id % 2 == 0;
  }

  /** Returns true if no id is left for a further stream. */
  boolean isExhausted() {
    return nextId >= LAST_ID;
  }

  /** Returns true if the body of any open stream was not sent to its end. */
  boolean hasUnsentBodies() {
    return unsentBodies > 0;
  }

  /** Records that the body of an open stream was sent to its end. */
  void bodySent() {
    unsentBodies--;
  }
}
