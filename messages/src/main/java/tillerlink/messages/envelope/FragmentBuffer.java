package tillerlink.messages.envelope;

/** A buffer that collects the fragments of one message. */
final class FragmentBuffer {
  private final byte[][] bodies;
  private final int component;
  private final long startedAt;
  private int missing;
  private int bytes;

  /**
   * Creates an empty buffer for the message that a fragment belongs to; the fragment itself is not
   * added.
   *
   * @param now the current time, in tenths of a millisecond
   */
  FragmentBuffer(Envelope fragment, long now) {
    bodies = new byte[fragment.fragmentCount()][];
    component = fragment.component();
    missing = fragment.fragmentCount();
    startedAt = now;
  }

  /** Returns whether a fragment is consistent with the others and has not been added yet. */
  boolean accepts(Envelope fragment) {
    return fragment.fragmentCount() == bodies.length
        && fragment.component() == component
        && bodies[fragment.fragmentIndex()] == null;
  }

  void add(Envelope fragment) {
    bodies[fragment.fragmentIndex()] = fragment.body();
    bytes += fragment.body().length;
    missing--;
  }

  boolean isComplete() {
    return missing == 0;
  }

  /** Returns the arrival time of the first fragment, in tenths of a millisecond. */
  long startedAt() {
    return startedAt;
  }

  /** Returns the total size of the fragments added so far, in bytes. */
  int bytes() {
    return bytes;
  }

  /** Returns the message; call it only once {@link #isComplete} returns true. */
  byte[] message() {
    byte[] message = new byte[bytes];
    int offset = 0;
    for (byte[] body : bodies) {
      System.arraycopy(body, 0, message, offset, body.length);
      offset += body.length;
    }
    return message;
  }
}
