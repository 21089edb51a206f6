package tillerlink.messages.envelope;

/** Collects the fragments of one message. */
final class FragmentBuffer {
  private final byte[][] bodies;
  private final int part;
  private final long startedAt;
  private int missing;
  private int bytes;

  /**
   * Makes the buffer of the message that a fragment belongs to, without the fragment itself.
   *
   * @param now tenths of a millisecond
   */
  FragmentBuffer(Envelope fragment, long now) {
    bodies = new byte[fragment.pieces()][];
    part = fragment.part();
    missing = fragment.pieces();
    startedAt = now;
  }

  /** Whether a fragment agrees with the others and is not there yet. */
  boolean accepts(Envelope fragment) {
    return fragment.pieces() == bodies.length
        && fragment.part() == part
        && bodies[fragment.piece()] == null;
  }

  void add(Envelope fragment) {
    bodies[fragment.piece()] = fragment.body();
    bytes += fragment.body().length;
    missing--;
  }

  boolean isComplete() {
    return missing == 0;
  }

  /** When the first fragment arrived, in tenths of a millisecond. */
  long startedAt() {
    return startedAt;
  }

  /** Bytes of the fragments that have arrived. */
  int bytes() {
    return bytes;
  }

  /** The message, once it is complete. */
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
